/*
 * Seeded fuzzing of what reads texts of other programs: entries of servers, the
 * manifest, answers of the store, headers of servers, keys and addresses of other
 * hosts. Guards against one odd text that ends a host, and against one odd row that
 * takes the other rows of an answer along. Datagrams of hosts are fuzzed in
 * test_peer, documents in test_document.
 *
 * FUZZ_INPUTS sets the inputs for each reader, FUZZ_SEED the first seed. An input
 * depends on its seed alone; seeds that ever failed are in failed_seeds.
 */
#include <stdlib.h>
#include <string.h>

#include "core/crash_guard.h"
#include "gateway/dialect.h"
#include "base/net.h"
#include "platform/dialect.h"
#include "platform/manifest.h"
#include "platform/store.h"
#include "tests/suite.h"

enum { DEFAULT_INPUTS = 3000, MAX_CHANGES = 6, NESTING = 5000 };

/* Inputs that failed once, of any reader. */
static const uint32_t failed_seeds[] = { 0 };

static const char server_text[] =
	"{\"service\":\"a\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	"\"slots\":6,\"state\":\"ready\",\"warmup-left-s\":1.5,"
	"\"sequence\":4,\"born\":1700000000000}";
static const char manifest_text[] =
	"{\"version\":7,\"services\":[{\"name\":\"a\",\"health-check-path\":"
	"\"/h\",\"max-connections\":260}],\"routes\":[{\"name\":\"r\","
	"\"host\":\"x.example\",\"prefix\":\"/p/\",\"route-kind\":\"unsafe\","
	"\"timeout-s\":1.2,\"max-attempts\":2,\"backends\":[{\"service\":\"a\","
	"\"weight\":9}]}],\"limits\":{\"idle-timeout-s\":15}}";
static const char rows_text[] =
	"{\"rows\":[{\"table\":\"servers\",\"part\":\"\",\"key\":\"s1\","
	"\"value\":\"eyJhIjoxfQ==\",\"ver\":3},{\"key\":\"s2\",\"deleted\":"
	"true,\"ver\":4,\"era\":2}],\"ver\":4,\"now-s\":1.5,"
	"\"has-more\":false}";

/* What readers of JSON, numbers and headers are known to stumble over. */
static const char *const odd_pieces[] = {
	"99999999999999999999999",
	"-99999999999999999999999",
	"1e400",
	"-1e400",
	"NaN",
	"Infinity",
	"0x10",
	"1.0000000000000000000000000001",
	"4294967296",
	"18446744073709551615",
	"-9223372036854775808",
	"\\u0000",
	"\\ud800",
	"\\udc00\\ud800",
	"\\ud83d\\ude00",
	"\xff\xfe",
	"\xed\xa0\x80",
	"\xc0\x80",
	"\"",
	"{",
	"}",
	"[",
	"]",
	",",
	":",
	"null",
	"true",
	"\\",
	"/*",
	"\r\n",
	"10.0.0.1:99999",
	"10.0.0.1:0",
	"[::1]:80",
	"256.1.1.1:80",
	"\"service\":\"b\",",
	"\"state\":\"gone\",",
	"{\"a\":{\"a\":{\"a\":{\"a\":1}}}}",
};

static void insert_nesting(GRand *random, GString *text, gssize at)
{
	static const char *const open[] = { "[", "{\"a\":" };
	uint32_t depth = (uint32_t)g_rand_int_range(random, 1, NESTING);
	const char *with = open[g_rand_int_range(random, 0, 2)];
	GString *piece = g_string_new(NULL);

	for (uint32_t i = 0; i < depth; i++)
		g_string_append(piece, with);
	g_string_insert_len(text, at, piece->str, (gssize)piece->len);
	g_string_free(piece, TRUE);
}

static void change_text(GRand *random, GString *text)
{
	gssize at = g_rand_int_range(random, 0, (gint)text->len + 1);
	gssize left = (gssize)text->len - at;
	gssize longest = g_rand_int_range(random, 0, 20);
	gssize bytes = MIN(left, longest);
	const char *piece = odd_pieces[g_rand_int_range(
		random, 0, G_N_ELEMENTS(odd_pieces))];
	char *copy;

	switch (g_rand_int_range(random, 0, 8)) {
	case 0:
		if (left)
			text->str[at] ^=
				(char)(1 << g_rand_int_range(random, 0, 8));
		break;
	case 1:
		g_string_erase(text, at, bytes);
		break;
	case 2:
		copy = g_memdup2(text->str + at, (gsize)bytes + 1);
		g_string_insert_len(text, at, copy, bytes);
		g_free(copy);
		break;
	case 3:
		g_string_truncate(text, (gsize)at);
		break;
	case 4:
		if (g_rand_int_range(random, 0, 20) == 0)
			insert_nesting(random, text, at);
		break;
	case 5:
		g_string_erase(text, at, bytes);
		g_string_insert(text, at, piece);
		break;
	default:
		g_string_insert(text, at, piece);
	}
}

/* The input of a seed; free it with g_string_free. */
static GString *make_input(const char *sample, uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	GString *text = g_string_new(sample);
	int changes = g_rand_int_range(random, 0, MAX_CHANGES);

	for (int i = 0; i < changes; i++)
		change_text(random, text);
	g_rand_free(random);
	return text;
}

/* A copy without a terminator, so that the sanitizers see a read beyond its end. */
static char *copy_exactly(const GString *text)
{
	return g_memdup2(text->str, MAX(text->len, 1));
}

static void read_server(const GString *text)
{
	struct mf_server server;
	struct st_status status;
	char *copy = copy_exactly(text);

	if (mf_decode_server(copy, text->len, &server, &status)) {
		ck_assert_uint_ge(server.slots, 1);
		ck_assert(*server.service && *server.zone);
		mf_free_server(&server);
	}
	g_free(copy);
}

static void read_manifest(const GString *text)
{
	struct st_status status;
	char *copy = copy_exactly(text);

	doc_unref(mf_decode_manifest(copy, text->len, &status));
	g_free(copy);
}

static void read_rows(const GString *text)
{
	struct pf_result result = { 0 };
	char *copy = copy_exactly(text);

	if (pf_decode_rows(copy, text->len, 1, &result)) {
		for (uint32_t i = 0; i < result.row_count; i++)
			ck_assert_ptr_nonnull(result.rows[i].key);
		pf_free_rows(&result);
		json_decref(result.json);
	}
	g_free(copy);
}

static void read_headers(const GString *text)
{
	struct hc_header headers[] = {
		{ "server-load", text->str, strlen("server-load"), text->len },
		{ "server-limit", text->str, strlen("server-limit"),
		  text->len },
		{ "retry-after", text->str, strlen("retry-after"), text->len },
		{ "date", text->str, strlen("date"), text->len },
		{ "not-executed", text->str, strlen("not-executed"),
		  text->len },
	};
	struct hc_head head = { 503, headers, G_N_ELEMENTS(headers),
				UINT64_MAX };
	struct core_event event = { 0 };

	pd_dialect.parse_report(&headers[0], &event);
	dl_default.parse_report(&headers[0], &event);
	dl_parse_rate_limit(&pd_dialect, &head, &event);
	if (dl_parse_pause(&head, &event))
		ck_assert_uint_le(event.u.pause.duration_us, DL_MAX_PAUSE_US);
	dl_is_not_run(&pd_dialect, &head, "s0");
}

static void read_address(const GString *text)
{
	struct nt_address address;
	struct cg_key key;

	nt_parse(text->str, &address);
	cg_key_from_text(text->str, &key);
}

static const struct {
	const char *sample;
	void (*read)(const GString *text);
} readers[] = {
	{ server_text, read_server },
	{ manifest_text, read_manifest },
	{ rows_text, read_rows },
	{ "3,1,6,120", read_headers },
	{ "Sun, 06 Nov 1994 08:49:37 GMT", read_headers },
	{ "10.0.0.1:8140", read_address },
	{ "0123456789abcdef0123456789abcdef", read_address },
};

static uint32_t get_number(const char *name, uint32_t otherwise)
{
	const char *text = getenv(name);

	return text ? (uint32_t)strtoul(text, NULL, 10) : otherwise;
}

static void read_seed(int reader, uint32_t seed)
{
	GString *text = make_input(readers[reader].sample, seed);

	readers[reader].read(text);
	g_string_free(text, TRUE);
}

START_TEST(odd_texts_do_not_end_the_host)
{
	uint32_t first = get_number("FUZZ_SEED", 1);
	uint32_t inputs = get_number("FUZZ_INPUTS", DEFAULT_INPUTS);

	for (size_t i = 0; i < G_N_ELEMENTS(failed_seeds); i++)
		read_seed(_i, failed_seeds[i]);
	for (uint32_t i = 0; i < inputs; i++)
		read_seed(_i, first + i);
}
END_TEST

/* Odd values of a row, as they stand in the answer of the store. */
static const char *const odd_rows[] = {
	"{\"key\":\"odd\\u0000key\",\"value\":\"e30=\",\"ver\":2}",
	"{\"key\":\"s1\\u0000\",\"value\":\"e30=\",\"ver\":2}",
	"{\"key\":\"\\ud800\",\"value\":\"e30=\",\"ver\":2}",
	"{\"key\":\"\xff\xfe\",\"value\":\"e30=\",\"ver\":2}",
	"{\"key\":7,\"value\":\"e30=\",\"ver\":2}",
	"{\"key\":\"odd\",\"value\":7,\"ver\":2}",
	"{\"key\":\"odd\",\"value\":\"???\",\"ver\":2}",
	"{\"key\":\"odd\",\"value\":null,\"ver\":\"2\"}",
	"{\"key\":\"odd\",\"key\":\"odd\",\"value\":\"e30=\",\"ver\":2}",
	"[]",
	"null",
};

/* The rows before and behind an odd one are read, and no other is made of it. */
START_TEST(odd_row_costs_no_other_row)
{
	struct pf_result result = { 0 };
	char *text = g_strdup_printf(
		"{\"rows\":[{\"key\":\"s1\",\"value\":\"YQ==\",\"ver\":1},%s,"
		"{\"key\":\"s9\",\"value\":\"Yg==\",\"ver\":3}],\"ver\":3}",
		odd_rows[_i]);
	uint32_t sound = 0;

	ck_assert(pf_decode_rows(text, strlen(text), 1, &result));
	ck_assert_uint_eq(result.row_count, 3);
	ck_assert_str_eq(result.rows[0].key, "s1");
	ck_assert_str_eq(result.rows[0].value, "a");
	ck_assert_str_eq(result.rows[2].key, "s9");
	ck_assert_str_eq(result.rows[2].value, "b");
	for (uint32_t i = 0; i < result.row_count; i++)
		sound += !result.rows[i].odd_key &&
			 !strcmp(result.rows[i].key, "s1");
	ck_assert_uint_eq(sound, 1);
	pf_free_rows(&result);
	json_decref(result.json);
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fuzz");

	tcase_add_loop_test(tc, odd_texts_do_not_end_the_host, 0,
			    G_N_ELEMENTS(readers));
	tcase_add_loop_test(tc, odd_row_costs_no_other_row, 0,
			    G_N_ELEMENTS(odd_rows));
	return suite_run_case("fuzz", tc, CK_FORK_GETENV);
}
