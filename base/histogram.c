#include "base/histogram.h"

#include <string.h>

enum { HG_US_PER_S = 1000 * 1000 };

#define HG_OTHER "other"

static const uint64_t hg_bounds_us[] = {
	5000,	10000,	25000,	50000,	 100000,  150000,  200000,
	300000, 400000, 600000, 1000000, 1500000, 2500000, 5000000,
};

enum { HG_BUCKETS = G_N_ELEMENTS(hg_bounds_us) };

struct hg_series {
	char *service;
	char *result;
	uint64_t buckets[HG_BUCKETS + 1]; /* the last one has no upper bound */
	uint64_t count;
	uint64_t sum_us;
};

static struct hg_series hg_series_list[HG_MAX_SERIES];
static uint32_t hg_series_count;

static struct hg_series *hg_find_series(const char *service, const char *result)
{
	struct hg_series *series;

	for (uint32_t i = 0; i < hg_series_count; i++)
		if (!strcmp(hg_series_list[i].service, service) &&
		    !strcmp(hg_series_list[i].result, result))
			return &hg_series_list[i];
	if (hg_series_count == HG_MAX_SERIES)
		return &hg_series_list[HG_MAX_SERIES - 1];
	series = &hg_series_list[hg_series_count++];
	if (hg_series_count == HG_MAX_SERIES) {
		service = HG_OTHER;
		result = HG_OTHER;
	}
	series->service = g_strdup(service);
	series->result = g_strdup(result);
	return series;
}

void hg_observe(const char *service, const char *result, uint64_t latency_us)
{
	struct hg_series *series = hg_find_series(service, result);
	uint32_t bucket = 0;

	while (bucket < HG_BUCKETS && latency_us > hg_bounds_us[bucket])
		bucket++;
	series->buckets[bucket]++;
	series->count++;
	series->sum_us += latency_us;
}

/* A label as the Prometheus text format wants it. */
static char *hg_escape(const char *label)
{
	GString *out = g_string_new(NULL);

	for (const char *at = label; *at; at++) {
		if (*at == '"' || *at == '\\')
			g_string_append_c(out, '\\');
		if (*at == '\n')
			g_string_append(out, "\\n");
		else
			g_string_append_c(out, *at);
	}
	return g_string_free(out, FALSE);
}

static void hg_write_series(GString *out, const struct hg_series *series)
{
	uint64_t cumulative = 0;
	char *service = hg_escape(series->service);

	for (uint32_t i = 0; i <= HG_BUCKETS; i++) {
		char bound[G_ASCII_DTOSTR_BUF_SIZE] = "+Inf";

		cumulative += series->buckets[i];
		if (i < HG_BUCKETS)
			g_ascii_formatd(bound, sizeof(bound), "%g",
					(double)hg_bounds_us[i] / HG_US_PER_S);
		g_string_append_printf(
			out,
			"jackdawworks_call_seconds_bucket{service=\"%s\","
			"result=\"%s\",le=\"%s\"} %" G_GUINT64_FORMAT "\n",
			service, series->result, bound, cumulative);
	}
	g_string_append_printf(
		out,
		"jackdawworks_call_seconds_sum{service=\"%s\",result=\"%s\"} "
		"%.6f\njackdawworks_call_seconds_count{service=\"%s\","
		"result=\"%s\"} %" G_GUINT64_FORMAT "\n",
		service, series->result, (double)series->sum_us / HG_US_PER_S,
		service, series->result, series->count);
	g_free(service);
}

void hg_write(GString *out)
{
	g_string_append(out, "# HELP jackdawworks_call_seconds Time from the "
			     "arrival of a call to its end\n"
			     "# TYPE jackdawworks_call_seconds histogram\n");
	for (uint32_t i = 0; i < hg_series_count; i++)
		hg_write_series(out, &hg_series_list[i]);
}
