/* yamldoc.h -- reads YAML text into structs and checks it against a schema

   A schema is a table of keys.  Reading reports every fault it finds, each
   with its line, the bad value and the remedy; unknown keys are faults.  A
   reader whose text may have been written for a newer build goes on where
   these are the only ones.
   Libyaml parses the text into a document, which this module traverses.

   The settings, the operators' configuration and the experiments are read with
   it.
*/

#ifndef BW_YAMLDOC_H
#define BW_YAMLDOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "messages.h"

typedef enum BwYamlType {
    BW_YAML_TEXT, /* char[size_bytes] */
    BW_YAML_U32,  /* uint32_t within minimum and maximum */
    BW_YAML_U64,  /* uint64_t within minimum and maximum */
    /* uint64_t: milliseconds, written in seconds with up to three decimals;
       minimum and maximum are milliseconds */
    BW_YAML_SECONDS,
    BW_YAML_BOOL,   /* bool */
    BW_YAML_CHOICE, /* uint32_t: the index among `choices` */
    BW_YAML_STRUCT, /* a nested mapping */
    BW_YAML_LIST,   /* pointer to allocated structs, and a uint32_t count */
} BwYamlType;

typedef struct BwYamlSchema BwYamlSchema;

typedef struct BwYamlField {
    const char *key;
    BwYamlType type;
    bool is_required;
    size_t offset;
    size_t size_bytes;   /* for a text: capacity, with the final NUL */
    size_t count_offset; /* for a list: offset of its uint32_t count */
    uint64_t minimum;
    uint64_t maximum;
    const char *const *choices;  /* ends with NULL */
    const BwYamlSchema *element; /* for a struct, or a list of structs */
    const char *remedy;          /* follows the cause of a fault */
} BwYamlField;

/* A schema with `field_count` 1 and an empty key reads a plain scalar. */
struct BwYamlSchema {
    const char *name;
    size_t size_bytes;
    uint32_t field_count;
    const BwYamlField *fields;
    size_t line_offset; /* offset of a uint32_t for the line; 0: not stored */
};

#define BW_YAML_DEPTH_MAX 16u

/* Limit of the list items that aliases may add to those written out.  Without
   it, aliases of nested lists would expand a short text to any size. */
#define BW_YAML_ALIASED_ITEMS_MAX 4096

#define BW_YAML_FAULTS_MAX 32
#define BW_YAML_FAULT_BYTES 320

typedef struct BwYamlFaults {
    uint32_t count; /* may exceed BW_YAML_FAULTS_MAX; the rest is dropped */
    uint32_t unknown_keys; /* how many of them are keys of no schema */
    char lines[BW_YAML_FAULTS_MAX][BW_YAML_FAULT_BYTES];
} BwYamlFaults;

/* Adds a line "FILE:LINE: " and the formatted text, which has the form
   "cause; remedy".  A line that is too long is truncated. */
void __attribute__((format(printf, 4, 5)))
BwYaml_AddFault(BwYamlFaults *faults, const char *file, uint32_t line,
                const char *format, ...);

/* Returns whether every fault is an unknown key, so that what was read is
   complete and correct as far as this build knows. */
bool
BwYaml_IsUsable(const BwYamlFaults *faults);

/* Reads `text` into `out`, a struct as `schema` describes it, which the caller
   has filled with defaults.  Adds every fault that it finds to `faults`.
   Returns true when there was none.  Lists are allocated; call BwYaml_Free
   also after a failure. */
bool
BwYaml_Read(const char *file, BwSpan text, const BwYamlSchema *schema,
            void *out, BwYamlFaults *faults);

/* Frees the lists of a struct. */
void
BwYaml_Free(const BwYamlSchema *schema, void *out);

#endif
