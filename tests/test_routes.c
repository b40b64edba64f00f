/* test_routes.c -- tests the lookup of the route of a host and path */

#include <string.h>

#include <glib.h>

#include "brasswing.h"
#include "routes.h"

#define MANY 20000
#define CHAIN_MAX 64 /* limit for the entries of one bucket */

static BwSpan
span(const char *text)
{
    return BwSpan_FromString(text);
}

static BwRouteRow
make_row(const char *name, const char *host, const char *prefix)
{
    BwRouteRow row = {.attempts_max = 1};

    row.name = span(name);
    row.host = span(host);
    row.prefix = span(prefix);
    row.service = span("service");
    return row;
}

static void
init_routes(BwRoutes *routes, BwRouteRow *rows, uint32_t count)
{
    BwRouteRows all = {.revision = 3, .rows = rows, .row_count = count};

    g_assert_true(BwRoutes_Init(routes, &all));
    g_assert_cmpuint(routes->revision, ==, 3);
}

static void
assert_found(const BwRoutes *routes, const char *host, const char *path,
             const char *name)
{
    const BwRoute *route = BwRoutes_Find(routes, span(host), span(path));

    if (name == NULL) {
        g_assert_null(route);
        return;
    }
    g_assert_nonnull(route);
    g_assert_cmpstr(route->name, ==, name);
}

static void
test_longest_prefix(void)
{
    BwRouteRow rows[] = {
        make_row("short", "one", "/a"),
        make_row("long", "one", "/a/b/"),
        make_row("middle", "one", "/a/"),
        make_row("other", "two", "/a/b/c"),
    };
    BwRoutes routes;

    init_routes(&routes, rows, G_N_ELEMENTS(rows));
    assert_found(&routes, "one", "/a/b/c", "long");
    assert_found(&routes, "one", "/a/b/", "long");
    assert_found(&routes, "one", "/a/b", "middle");
    assert_found(&routes, "one", "/a/", "middle");
    assert_found(&routes, "one", "/ab", "short");
    assert_found(&routes, "one", "/a", "short");
    assert_found(&routes, "one", "/", NULL);
    assert_found(&routes, "one", "", NULL);
    assert_found(&routes, "two", "/a/b/c/d", "other");
    assert_found(&routes, "two", "/a/b/", NULL);
    assert_found(&routes, "three", "/a/b/c", NULL);
    assert_found(&routes, "", "/a/b/c", NULL);
    BwRoutes_Finish(&routes);
}

static void
test_host(void)
{
    BwRouteRow rows[] = {
        make_row("one", "one.example", "/a/"),
        make_row("upper", "Two.Example", "/a/"),
    };
    BwRoutes routes;

    init_routes(&routes, rows, G_N_ELEMENTS(rows));
    assert_found(&routes, "one.example:8080", "/a/x", "one");
    assert_found(&routes, "one.example:", "/a/x", "one");
    assert_found(&routes, "one.example.", "/a/x", NULL);
    assert_found(&routes, "one.exampl", "/a/x", NULL);
    assert_found(&routes, ":80", "/a/x", NULL);
    /* Host names ignore case, paths do not. */
    assert_found(&routes, "ONE.Example", "/a/x", "one");
    assert_found(&routes, "two.example", "/a/x", "upper");
    assert_found(&routes, "one.example", "/A/x", NULL);
    BwRoutes_Finish(&routes);
}

/* The hash key joins host and prefix, so a shifted boundary between the two
   must not match. */
static void
test_host_and_prefix_apart(void)
{
    BwRouteRow rows[] = {make_row("one", "host", "/a")};
    BwRoutes routes;

    init_routes(&routes, rows, 1);
    assert_found(&routes, "hos", "t/a", NULL);
    assert_found(&routes, "host/a", "/a", NULL);
    BwRoutes_Finish(&routes);
}

static void
test_duplicate_rows(void)
{
    BwRouteRow rows[] = {make_row("first", "one", "/a/"),
                         make_row("last", "one", "/a/")};
    BwRoutes routes;

    init_routes(&routes, rows, G_N_ELEMENTS(rows));
    assert_found(&routes, "one", "/a/x", "last");
    g_assert_cmpuint(HASH_COUNT(routes.table), ==, 1);
    BwRoutes_Finish(&routes);
    g_assert_null(routes.table);
}

static void
test_too_long(void)
{
    char *longest = g_strnfill(BW_ROUTE_TEXT_BYTES - 1, 'p');
    char *too_long = g_strnfill(BW_ROUTE_TEXT_BYTES, 'q');
    char *path = g_strconcat(longest, "/and/more", NULL);
    BwRouteRow rows[] = {
        make_row("longest", "one", longest),
        make_row("over", "one", too_long),
        make_row("host", too_long, "/a/"),
        make_row("plain", "one", "/a/"),
    };
    BwRoutes routes;
    char *tail = g_strconcat("/a/", too_long, too_long, NULL);

    init_routes(&routes, rows, G_N_ELEMENTS(rows));
    assert_found(&routes, "one", longest, "longest");
    assert_found(&routes, "one", path, "longest");
    assert_found(&routes, "one", too_long, NULL);
    assert_found(&routes, too_long, "/a/x", NULL);
    assert_found(&routes, "one", tail, "plain");
    BwRoutes_Finish(&routes);
    g_free(longest);
    g_free(too_long);
    g_free(path);
    g_free(tail);
}

static uint32_t
count_lengths(const BwRoutes *routes)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < BW_ROUTE_TEXT_BYTES; i++)
        count += routes->has_length[i];
    return count;
}

static uint32_t
longest_chain(const BwRoutes *routes)
{
    const UT_hash_table *table = routes->table->hh.tbl;
    uint32_t longest = 0;

    for (uint32_t i = 0; i < table->num_buckets; i++) {
        if (table->buckets[i].count > longest)
            longest = table->buckets[i].count;
    }
    return longest;
}

/* A lookup costs one probe for each prefix length in use, whatever the number
   of routes. */
static void
test_many(void)
{
    BwRouteRow *rows = g_new0(BwRouteRow, MANY);
    char(*texts)[16] = g_malloc0(MANY * sizeof(*texts));
    BwRoutes routes;

    for (uint32_t i = 0; i < MANY; i++) {
        g_snprintf(texts[i], sizeof(texts[i]), "/q%05u/", i);
        rows[i] = make_row(texts[i], i % 2 == 0 ? "even" : "odd", texts[i]);
    }
    init_routes(&routes, rows, MANY);
    g_assert_cmpuint(HASH_COUNT(routes.table), ==, MANY);
    g_assert_cmpuint(count_lengths(&routes), ==, 1);
    g_assert_cmpuint(longest_chain(&routes), <=, CHAIN_MAX);
    for (uint32_t i = 0; i < MANY; i += 97) {
        char path[32];

        g_snprintf(path, sizeof(path), "%sname", texts[i]);
        assert_found(&routes, i % 2 == 0 ? "even" : "odd", path, texts[i]);
        assert_found(&routes, i % 2 == 0 ? "odd" : "even", path, NULL);
    }
    BwRoutes_Finish(&routes);
    g_free(rows);
    g_free(texts);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/routes/longest_prefix", test_longest_prefix);
    g_test_add_func("/routes/host", test_host);
    g_test_add_func("/routes/host_and_prefix_apart",
                    test_host_and_prefix_apart);
    g_test_add_func("/routes/twin_rows", test_duplicate_rows);
    g_test_add_func("/routes/too_long", test_too_long);
    g_test_add_func("/routes/many", test_many);
    return g_test_run();
}
