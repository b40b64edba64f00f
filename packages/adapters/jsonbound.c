/* jsonbound.c -- bounds what a JSON text takes once it is parsed

   Every value but the first follows a comma or an opening bracket, so those
   outside of strings are counted in one pass without memory.
*/

#include "jsonbound.h"

bool
BwJsonBound_Check(BwSpan text)
{
    uint32_t values = 1;
    uint32_t depth = 0;
    bool is_in_string = false;

    for (uint32_t i = 0; i < text.size_bytes; i++) {
        switch (text.base[i]) {
        case '\\':
            i += is_in_string ? 1 : 0;
            break;
        case '"':
            is_in_string = !is_in_string;
            break;
        case '[':
        case '{':
            depth += is_in_string ? 0 : 1;
            values += is_in_string ? 0 : 1;
            break;
        case ']':
        case '}':
            depth -= is_in_string || depth == 0 ? 0 : 1;
            break;
        case ',':
            values += is_in_string ? 0 : 1;
            break;
        default:
            break;
        }
        if (values > BW_JSON_VALUES_MAX || depth > BW_JSON_DEPTH_MAX)
            return false;
    }
    return true;
}
