/* framecheck.c -- limits the size of a msgpack value before it is unpacked */

#include "framecheck.h"

#include <msgpack/unpack.h>
#include <msgpack/unpack_define.h>

typedef struct ValueLimit {
    size_t values_left;
} ValueLimit;

typedef char Value; /* the template needs an object type; it is not used */

/* Parameters of unpack_template.h, which defines check_init, check_execute and
   their context. */
#define msgpack_unpack_struct(name) struct check##name
#define msgpack_unpack_func(ret, name) static inline ret check##name
#define msgpack_unpack_callback(name) on##name
#define msgpack_unpack_object Value
#define msgpack_unpack_user ValueLimit

static Value
on_root(ValueLimit *limit)
{
    (void)limit;
    return 0;
}

#define SCALAR(name, type)                                                    \
    static int on##name(ValueLimit *limit, type value, Value *out)            \
    {                                                                         \
        (void)limit;                                                          \
        (void)value;                                                          \
        *out = 0;                                                             \
        return 0;                                                             \
    }
#define CONSTANT(name)                                                        \
    static int on##name(ValueLimit *limit, Value *out)                        \
    {                                                                         \
        (void)limit;                                                          \
        *out = 0;                                                             \
        return 0;                                                             \
    }
#define BYTES(name)                                                           \
    static int on##name(ValueLimit *limit, const char *base,                  \
                        const char *start, unsigned int size_bytes,           \
                        Value *out)                                           \
    {                                                                         \
        (void)limit;                                                          \
        (void)base;                                                           \
        (void)start;                                                          \
        (void)size_bytes;                                                     \
        *out = 0;                                                             \
        return 0;                                                             \
    }

SCALAR(_uint8, uint8_t)
SCALAR(_uint16, uint16_t)
SCALAR(_uint32, uint32_t)
SCALAR(_uint64, uint64_t)
SCALAR(_int8, int8_t)
SCALAR(_int16, int16_t)
SCALAR(_int32, int32_t)
SCALAR(_int64, int64_t)
SCALAR(_float, float)
SCALAR(_double, double)
CONSTANT(_nil)
CONSTANT(_true)
CONSTANT(_false)
BYTES(_str)
BYTES(_bin)
BYTES(_ext)

/* Counts the values that a container declares.  An error ends the parse. */
static int
count_values(ValueLimit *limit, size_t values, Value *out)
{
    *out = 0;
    if (values > limit->values_left)
        return MSGPACK_UNPACK_NOMEM_ERROR;
    limit->values_left -= values;
    return 0;
}

static int
on_array(ValueLimit *limit, unsigned int count, Value *out)
{
    return count_values(limit, count, out);
}

static int
on_map(ValueLimit *limit, unsigned int count, Value *out)
{
    return count_values(limit, (size_t)count * 2, out);
}

static int
on_array_item(ValueLimit *limit, Value *array, Value item)
{
    (void)limit;
    (void)array;
    (void)item;
    return 0;
}

static int
on_map_item(ValueLimit *limit, Value *map, Value key, Value value)
{
    (void)limit;
    (void)map;
    (void)key;
    (void)value;
    return 0;
}

#include <msgpack/unpack_template.h>

bool
BwFrame_IsBounded(const char *data, size_t size_bytes)
{
    struct check_context context = {0};
    size_t offset = 0;

    check_init(&context);
    context.user.values_left =
        size_bytes < BW_FRAME_VALUES_MAX ? size_bytes : BW_FRAME_VALUES_MAX;
    return check_execute(&context, data, size_bytes, &offset) > 0 &&
           offset == size_bytes;
}
