#include "base/counter.h"

#include "base/histogram.h"

static uint64_t ct_values[CT_COUNT];
static uint64_t ct_results[ST_KIND_COUNT];

static const struct {
	const char *name;
	const char *help;
} ct_rows[] = {
#define X(id, name, help) { name, help },
	CT_LIST(X)
#undef X
};

void ct_add(enum ct_id id, uint64_t n)
{
	ct_values[id] += n;
}

uint64_t ct_get(enum ct_id id)
{
	return ct_values[id];
}

const char *ct_name(enum ct_id id)
{
	return ct_rows[id].name;
}

const char *ct_help(enum ct_id id)
{
	return ct_rows[id].help;
}

void ct_add_result(enum st_kind kind)
{
	ct_results[kind]++;
}

uint64_t ct_get_result(enum st_kind kind)
{
	return ct_results[kind];
}

static void ct_write_results(GString *out)
{
	g_string_append(out, "# HELP jackdawworks_results_total Calls by "
			     "result\n# TYPE jackdawworks_results_total "
			     "counter\n");
	for (int i = 0; i < ST_KIND_COUNT; i++)
		g_string_append_printf(out,
				       "jackdawworks_results_total{result="
				       "\"%s\"} %" G_GUINT64_FORMAT "\n",
				       st_name((enum st_kind)i), ct_results[i]);
}

void ct_write(GString *out)
{
	for (int i = 0; i < CT_COUNT; i++) {
		g_string_append_printf(out, "# HELP jackdawworks_%s %s\n",
				       ct_rows[i].name, ct_rows[i].help);
		g_string_append_printf(out, "# TYPE jackdawworks_%s counter\n",
				       ct_rows[i].name);
		g_string_append_printf(
			out, "jackdawworks_%s %" G_GUINT64_FORMAT "\n",
			ct_rows[i].name, ct_values[i]);
	}
	ct_write_results(out);
	hg_write(out);
}
