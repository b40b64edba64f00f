# Completion of brasswingd for bash: source this file.

_brasswingd() {
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}

    case $previous in
    -s | --settings)
        COMPREPLY=($(compgen -f -- "$current"))
        return
        ;;
    esac
    COMPREPLY=($(compgen -W "--settings --check --version --help" -- \
        "$current"))
}
complete -F _brasswingd brasswingd
