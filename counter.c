#include "counter.h"

static uint64_t ct_values[CT_COUNT];

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
}
