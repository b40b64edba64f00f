/* yamldoc.c -- reads YAML text into structs and checks it against a schema

   Described in yamldoc.h.
*/

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <yaml.h>

#include "yamldoc.h"

#define FIELDS_MAX 64 /* fields of one schema */

typedef struct Reader {
    const char *file;
    yaml_document_t document;
    BwYamlFaults *faults;
    size_t items_left; /* items that all lists together may still add */
} Reader;

void
BwYaml_AddFault(BwYamlFaults *faults, const char *file, uint32_t line,
                const char *format, ...)
{
    va_list arguments;
    char *text;
    int used;

    if (faults->count++ >= BW_YAML_FAULTS_MAX)
        return;
    text = faults->lines[faults->count - 1];
    used = snprintf(text, BW_YAML_FAULT_BYTES, "%s:%u: ", file, line);
    if (used < 0 || used >= BW_YAML_FAULT_BYTES)
        return;
    va_start(arguments, format);
    vsnprintf(text + used, BW_YAML_FAULT_BYTES - (size_t)used, format,
              arguments);
    va_end(arguments);
}

static uint32_t
node_line(const yaml_node_t *node)
{
    return (uint32_t)node->start_mark.line + 1;
}

static const char *
scalar_text(const yaml_node_t *node)
{
    if (node->type != YAML_SCALAR_NODE)
        return NULL;
    return (const char *)node->data.scalar.value;
}

static void
add_value_fault(Reader *reader, const yaml_node_t *node,
                const BwYamlField *field, const char *expected)
{
    const char *text = scalar_text(node);

    BwYaml_AddFault(reader->faults, reader->file, node_line(node),
                    "%s: '%.60s' is not %s; %s", field->key,
                    text != NULL ? text : "(not a plain value)", expected,
                    field->remedy != NULL ? field->remedy : "correct it");
}

static void
read_number(Reader *reader, const yaml_node_t *node, const BwYamlField *field,
            char *target)
{
    const char *text = scalar_text(node);
    char *end = NULL;
    unsigned long long value = 0;
    char expected[80];

    errno = 0;
    if (text != NULL && text[0] >= '0' && text[0] <= '9')
        value = strtoull(text, &end, 10);
    if (end == NULL || *end != '\0' || errno != 0 || value < field->minimum ||
        value > field->maximum) {
        snprintf(expected, sizeof(expected), "a number from %llu to %llu",
                 (unsigned long long)field->minimum,
                 (unsigned long long)field->maximum);
        add_value_fault(reader, node, field, expected);
        return;
    }
    if (field->type == BW_YAML_U32)
        *(uint32_t *)target = (uint32_t)value;
    else
        *(uint64_t *)target = value;
}

/* Reads SECONDS or SECONDS.FRACTION, with up to three decimals. */
static void
read_seconds(Reader *reader, const yaml_node_t *node, const BwYamlField *field,
             char *target)
{
    const char *text = scalar_text(node);
    char *end = NULL;
    uint64_t value_ms = 0;
    char expected[80];

    errno = 0;
    if (text != NULL && text[0] >= '0' && text[0] <= '9')
        value_ms = strtoull(text, &end, 10) * 1000;
    if (end != NULL && *end == '.' && end[1] >= '0' && end[1] <= '9') {
        end++;
        for (uint64_t unit_ms = 100; unit_ms > 0 && *end >= '0' && *end <= '9';
             unit_ms /= 10)
            value_ms += (uint64_t)(*end++ - '0') * unit_ms;
    }
    if (end == NULL || *end != '\0' || errno != 0 ||
        value_ms < field->minimum || value_ms > field->maximum) {
        snprintf(expected, sizeof(expected), "a time from %g to %g seconds",
                 (double)field->minimum / 1000, (double)field->maximum / 1000);
        add_value_fault(reader, node, field, expected);
        return;
    }
    *(uint64_t *)target = value_ms;
}

static void
read_text(Reader *reader, const yaml_node_t *node, const BwYamlField *field,
          char *target)
{
    const char *text = scalar_text(node);
    char expected[80];

    if (text == NULL || strlen(text) >= field->size_bytes ||
        (field->minimum > 0 && text[0] == '\0')) {
        snprintf(expected, sizeof(expected), "a text of %llu to %zu bytes",
                 (unsigned long long)field->minimum, field->size_bytes - 1);
        add_value_fault(reader, node, field, expected);
        return;
    }
    strcpy(target, text);
}

static void
read_bool(Reader *reader, const yaml_node_t *node, const BwYamlField *field,
          char *target)
{
    const char *text = scalar_text(node);

    if (text != NULL && strcmp(text, "true") == 0)
        *(bool *)target = true;
    else if (text != NULL && strcmp(text, "false") == 0)
        *(bool *)target = false;
    else
        add_value_fault(reader, node, field, "true or false");
}

static void
read_choice(Reader *reader, const yaml_node_t *node, const BwYamlField *field,
            char *target)
{
    const char *text = scalar_text(node);
    char expected[160] = "one of:";
    size_t used = strlen(expected);

    for (uint32_t i = 0; field->choices[i] != NULL; i++) {
        if (text != NULL && strcmp(text, field->choices[i]) == 0) {
            *(uint32_t *)target = i;
            return;
        }
        if (used < sizeof(expected))
            used += (size_t)snprintf(expected + used, sizeof(expected) - used,
                                     " %s", field->choices[i]);
    }
    add_value_fault(reader, node, field, expected);
}

static void
read_struct(Reader *reader, const yaml_node_t *node,
            const BwYamlSchema *schema, char *out);

static void
read_list(Reader *reader, const yaml_node_t *node, const BwYamlField *field,
          char *out)
{
    const BwYamlSchema *element = field->element;
    uint32_t count;
    char *items;

    if (node->type != YAML_SEQUENCE_NODE) {
        add_value_fault(reader, node, field, "a list");
        return;
    }
    count = (uint32_t)(node->data.sequence.items.top -
                       node->data.sequence.items.start);
    if (count > reader->items_left) {
        add_value_fault(reader, node, field,
                        "short enough; its aliases repeat too many items");
        return;
    }
    reader->items_left -= count;
    items = calloc(count + 1, element->size_bytes);
    if (items == NULL) {
        add_value_fault(reader, node, field, "small enough for memory");
        return;
    }
    free(*(char **)(out + field->offset));
    *(char **)(out + field->offset) = items;
    *(uint32_t *)(out + field->count_offset) = count;
    for (uint32_t i = 0; i < count; i++) {
        yaml_node_t *item = yaml_document_get_node(
            &reader->document, node->data.sequence.items.start[i]);

        read_struct(reader, item, element, items + i * element->size_bytes);
    }
}

static void
read_field(Reader *reader, const yaml_node_t *node, const BwYamlField *field,
           char *out)
{
    char *target = out + field->offset;

    switch (field->type) {
    case BW_YAML_TEXT:
        read_text(reader, node, field, target);
        break;
    case BW_YAML_U32:
    case BW_YAML_U64:
        read_number(reader, node, field, target);
        break;
    case BW_YAML_SECONDS:
        read_seconds(reader, node, field, target);
        break;
    case BW_YAML_BOOL:
        read_bool(reader, node, field, target);
        break;
    case BW_YAML_CHOICE:
        read_choice(reader, node, field, target);
        break;
    case BW_YAML_STRUCT:
        read_struct(reader, node, field->element, target);
        break;
    case BW_YAML_LIST:
        read_list(reader, node, field, out);
        break;
    }
}

static int
find_field(const BwYamlSchema *schema, const char *key)
{
    for (uint32_t i = 0; i < schema->field_count; i++) {
        if (strcmp(schema->fields[i].key, key) == 0)
            return (int)i;
    }
    return -1;
}

static void
read_pair(Reader *reader, const yaml_node_pair_t *pair,
          const BwYamlSchema *schema, char *out, bool *seen)
{
    yaml_node_t *key = yaml_document_get_node(&reader->document, pair->key);
    yaml_node_t *value =
        yaml_document_get_node(&reader->document, pair->value);
    const char *name = scalar_text(key);
    int index = name != NULL ? find_field(schema, name) : -1;

    if (index < 0) {
        reader->faults->unknown_keys++;
        BwYaml_AddFault(reader->faults, reader->file, node_line(key),
                        "'%.60s' is not a key of %s; remove it or correct "
                        "its spelling",
                        name != NULL ? name : "(not a name)", schema->name);
        return;
    }
    if (seen[index]) {
        BwYaml_AddFault(reader->faults, reader->file, node_line(key),
                        "'%s' stands twice; remove one", name);
        return;
    }
    seen[index] = true;
    read_field(reader, value, &schema->fields[index], out);
}

static void
read_struct(Reader *reader, const yaml_node_t *node,
            const BwYamlSchema *schema, char *out)
{
    bool seen[FIELDS_MAX] = {false};

    if (schema->line_offset != 0)
        *(uint32_t *)(out + schema->line_offset) = node_line(node);
    if (schema->field_count == 1 && schema->fields[0].key[0] == '\0') {
        read_field(reader, node, &schema->fields[0], out);
        return;
    }
    if (node->type != YAML_MAPPING_NODE) {
        BwYaml_AddFault(reader->faults, reader->file, node_line(node),
                        "%s is not a mapping; write key: value lines",
                        schema->name);
        return;
    }
    for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
         pair < node->data.mapping.pairs.top; pair++)
        read_pair(reader, pair, schema, out, seen);
    for (uint32_t i = 0; i < schema->field_count; i++) {
        const BwYamlField *field = &schema->fields[i];

        if (field->is_required && !seen[i])
            BwYaml_AddFault(reader->faults, reader->file, node_line(node),
                            "%s lacks '%s'; %s", schema->name, field->key,
                            field->remedy != NULL ? field->remedy : "add it");
    }
}

/* Libyaml takes time that grows with the square of the nesting depth, so the
   depth is checked first on the parser's events, which are delivered while the
   text is read: the check stops at the first event that is too deep.  Returns
   its line, or 0; other faults are left to the loader. */
static uint32_t
find_too_deep(BwSpan text)
{
    yaml_parser_t parser;
    yaml_event_t event;
    uint32_t depth = 0;
    uint32_t line = 0;
    bool is_over = false;

    if (!yaml_parser_initialize(&parser))
        return 0;
    yaml_parser_set_input_string(&parser, (const unsigned char *)text.base,
                                 text.size_bytes);
    while (!is_over && yaml_parser_parse(&parser, &event)) {
        depth += event.type == YAML_SEQUENCE_START_EVENT ||
                 event.type == YAML_MAPPING_START_EVENT;
        depth -= event.type == YAML_SEQUENCE_END_EVENT ||
                 event.type == YAML_MAPPING_END_EVENT;
        if (depth > BW_YAML_DEPTH_MAX)
            line = (uint32_t)event.start_mark.line + 1;
        is_over = line > 0 || event.type == YAML_STREAM_END_EVENT;
        yaml_event_delete(&event);
    }
    yaml_parser_delete(&parser);
    return line;
}

bool
BwYaml_IsUsable(const BwYamlFaults *faults)
{
    return faults->count == faults->unknown_keys;
}

bool
BwYaml_Read(const char *file, BwSpan text, const BwYamlSchema *schema,
            void *out, BwYamlFaults *faults)
{
    uint32_t before = faults->count;
    Reader reader = {.file = file, .faults = faults};
    uint32_t deep_line = find_too_deep(text);
    yaml_parser_t parser;
    yaml_node_t *root;

    if (deep_line > 0) {
        BwYaml_AddFault(faults, file, deep_line,
                        "nests more than %u levels; write it flatter",
                        BW_YAML_DEPTH_MAX);
        return false;
    }
    if (!yaml_parser_initialize(&parser)) {
        BwYaml_AddFault(faults, file, 0, "no memory for the parser");
        return false;
    }
    yaml_parser_set_input_string(&parser, (const unsigned char *)text.base,
                                 text.size_bytes);
    if (!yaml_parser_load(&parser, &reader.document)) {
        BwYaml_AddFault(faults, file, (uint32_t)parser.problem_mark.line + 1,
                        "not YAML: %s; correct the line",
                        parser.problem != NULL ? parser.problem : "unknown");
        yaml_parser_delete(&parser);
        return false;
    }
    reader.items_left =
        BW_YAML_ALIASED_ITEMS_MAX +
        (size_t)(reader.document.nodes.top - reader.document.nodes.start);
    root = yaml_document_get_root_node(&reader.document);
    if (root == NULL)
        BwYaml_AddFault(faults, file, 1, "the text is empty; write %s",
                        schema->name);
    else
        read_struct(&reader, root, schema, out);
    yaml_document_delete(&reader.document);
    yaml_parser_delete(&parser);
    return faults->count == before;
}

void
BwYaml_Free(const BwYamlSchema *schema, void *out)
{
    for (uint32_t i = 0; i < schema->field_count; i++) {
        const BwYamlField *field = &schema->fields[i];
        char *target = (char *)out + field->offset;
        uint32_t *count = (uint32_t *)((char *)out + field->count_offset);

        if (field->type == BW_YAML_STRUCT)
            BwYaml_Free(field->element, target);
        if (field->type != BW_YAML_LIST)
            continue;
        for (uint32_t j = 0; j < *count; j++)
            BwYaml_Free(field->element,
                        *(char **)target + j * field->element->size_bytes);
        free(*(char **)target);
        *(char **)target = NULL;
        *count = 0;
    }
}
