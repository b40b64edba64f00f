# Completion of brasswing for bash: source this file.

_brasswing() {
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}
    local commands="check publish show history diff rollback status explain losses
drain submit cancel replay lab"
    local options="--entry --fleet --log --logs --stream --member --base --publish-id
--against --strict --author --output --timeout --window --authority --tls-name --token --version --help"

    case $previous in
    -o | --output)
        COMPREPLY=($(compgen -W "text json" -- "$current"))
        return
        ;;
    check | publish | submit | replay | -f | --fleet | -L | --logs | -a | --authority | -g | --against)
        COMPREPLY=($(compgen -f -- "$current"))
        return
        ;;
    -e | --entry | -l | --log | -S | --stream | -m | --member | -b | --base | \
        -i | --publish-id | -A | --author | -t | --timeout | -w | --window | -n | --tls-name | \
        -T | --token)
        COMPREPLY=()
        return
        ;;
    esac
    if [[ $current == -* ]]; then
        COMPREPLY=($(compgen -W "$options" -- "$current"))
    else
        COMPREPLY=($(compgen -W "$commands" -- "$current"))
    fi
}
complete -F _brasswing brasswing
