/*
 * Measures a table of customers: its memory, the time to decode it from a manifest,
 * and the time of a look-up of a key that a customer holds and of one that none does.
 *
 * usage: tool_customers CUSTOMERS KEYS-OF-EACH
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "base/timer.h"
#include "platform/manifest.h"

enum { LOOK_UPS = 4000000, NS_PER_US = 1000 };

/* Random keys of 40 characters, as they are usual. */
static void format_key(char *out, size_t bytes, uint32_t customer, uint32_t key,
		       const char *end)
{
	char *digest;
	char text[32];

	g_snprintf(text, sizeof(text), "%u %u", customer, key);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA1, text, -1);
	g_snprintf(out, bytes, "%s%s", digest, end);
	g_free(digest);
}

static GString *print_manifest(uint32_t customers, uint32_t keys)
{
	GString *out = g_string_new("{\"version\":1,\"services\":[],"
				    "\"routes\":[],\"tenants\":[");
	char key[64];

	for (uint32_t i = 0; i < customers; i++) {
		g_string_append_printf(out,
				       "%s{\"name\":\"customer-%u\","
				       "\"rate-per-s\":9,\"api-keys\":[",
				       i ? "," : "", i);
		for (uint32_t j = 0; j < keys; j++) {
			format_key(key, sizeof(key), i, j, "");
			g_string_append_printf(out, "%s\"%s\"", j ? "," : "",
					       key);
		}
		g_string_append(out, "]}");
	}
	return g_string_append(out, "]}");
}

/* Nanoseconds per look-up of random keys that end with END. */
static double time_look_ups(const struct doc_document *document,
			    uint32_t customers, uint32_t keys, const char *end,
			    uint32_t *found)
{
	enum { SAMPLE = 4096 };
	static char sample[SAMPLE][64];
	uint64_t begin_us;

	for (uint32_t i = 0; i < SAMPLE; i++)
		format_key(sample[i], sizeof(sample[i]), rand() % customers,
			   rand() % keys, end);
	*found = 0;
	begin_us = tm_now_us();
	for (uint32_t i = 0; i < LOOK_UPS; i++) {
		const char *key = sample[i % SAMPLE];

		*found += doc_customers_find(document->customers, key,
					     strlen(key)) != DOC_NO_INDEX;
	}
	return (double)(tm_now_us() - begin_us) * NS_PER_US / LOOK_UPS;
}

static long peak_kb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
}

int main(int argc, char **argv)
{
	struct st_status status;
	struct doc_document *document;
	GString *text;
	uint32_t customers = argc == 3 ? (uint32_t)atoi(argv[1]) : 0;
	uint32_t keys = argc == 3 ? (uint32_t)atoi(argv[2]) : 0;
	uint32_t found;
	uint64_t begin_us;
	size_t bytes;
	long peak;
	double ns;

	if (!customers || !keys) {
		fprintf(stderr,
			"usage: tool_customers CUSTOMERS KEYS-OF-EACH\n");
		return 2;
	}
	text = print_manifest(customers, keys);
	bytes = mallinfo2().uordblks;
	peak = peak_kb();
	begin_us = tm_now_us();
	document = mf_decode_manifest(text->str, text->len, &status);
	if (!document) {
		fprintf(stderr, "%s\n", status.msg);
		return 1;
	}
	printf("manifest %zu bytes, decoded in %" G_GUINT64_FORMAT
	       " us, table %zu bytes, peak memory +%ld KB\n",
	       text->len, tm_now_us() - begin_us, mallinfo2().uordblks - bytes,
	       peak_kb() - peak);
	ns = time_look_ups(document, customers, keys, "", &found);
	printf("look-up of a known key %.0f ns (%u found)\n", ns, found);
	ns = time_look_ups(document, customers, keys, "x", &found);
	printf("look-up of an unknown key %.0f ns (%u found)\n", ns, found);
	doc_unref(document);
	g_string_free(text, TRUE);
	return 0;
}
