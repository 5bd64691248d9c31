/*
 * Tests of the control task: documents from peers while the platform does not
 * answer, the poll interval, and stopping.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/control.h"
#include "tests/suite.h"

enum { SEEDS = 5, SECOND_US = 1000 * 1000, MAX_LOOP_TURNS = 1000 };

/* A control task whose platform refuses every connection. */
struct fixture {
	uv_loop_t loop;
	struct tm_service timers;
	struct kn_kernel kernel;
	struct pf_client platform;
	struct se_settings settings;
	struct cp_control control;
	struct kn_task listener;
	uint64_t last_generation; /* of the last KN_DOCUMENT */
};

static void on_message(void *ctx, const struct kn_msg *msg)
{
	struct fixture *fixture = ctx;
	const struct kn_msg_document *document = (const void *)msg;

	if (msg->kind == KN_DOCUMENT)
		fixture->last_generation = document->document->generation;
}

static void fixture_init(struct fixture *fixture)
{
	struct st_status status;

	memset(fixture, 0, sizeof(*fixture));
	g_strlcpy(fixture->settings.host, "entry-0", SE_NAME_BYTES);
	fixture->settings.random_seed = 1;
	fixture->settings.seed_count = SEEDS;
	for (int i = 0; i < SEEDS; i++) {
		char text[NT_TEXT_BYTES];

		snprintf(text, sizeof(text), "127.0.0.1:%d", 7000 + i);
		ck_assert(nt_parse(text, &fixture->settings.seeds[i]));
	}
	fixture->settings.peers = fixture->settings.seeds[0];
	/* Port 1 is reserved and has no listener. */
	ck_assert(nt_parse("127.0.0.1:1", &fixture->settings.platform));
	uv_loop_init(&fixture->loop);
	tm_init(&fixture->timers, &fixture->loop);
	kn_init(&fixture->kernel, &fixture->loop);
	pf_init(&fixture->platform, &fixture->loop, &fixture->timers,
		&fixture->settings.platform);
	fixture->listener = (struct kn_task){ "listener", on_message, fixture };
	kn_register(&fixture->kernel, &fixture->listener, &status);
	ck_assert_int_eq(cp_init(&fixture->control, &fixture->kernel,
				 &fixture->timers, &fixture->platform,
				 &fixture->settings, &status),
			 ST_OK);
}

/*
 * Runs the loop until the first read of the current row has failed. That row
 * of the platform names the newest accepted document.
 */
static void wait_read_failed(struct fixture *fixture)
{
	for (int i = 0; i < MAX_LOOP_TURNS && !fixture->control.row_read_failed;
	     i++)
		uv_run(&fixture->loop, UV_RUN_ONCE);
	ck_assert(fixture->control.row_read_failed);
}

static void fixture_free(struct fixture *fixture)
{
	pf_free(&fixture->platform);
	cp_free(&fixture->control);
	kn_free(&fixture->kernel);
	tm_free(&fixture->timers);
	uv_run(&fixture->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&fixture->loop), 0);
}

/* Returns a valid document, whose content differs with WEIGHT. */
static char *make_body(uint32_t weight)
{
	return g_strdup_printf(
		"deployment: test\nlatency_weight_percent: %u\nzones: [a]\n"
		"services:\n- name: desk\n  route: /desk/\n  measuring: "
		"{requests_per_s: 0, bytes_per_s: 0, "
		"cross_zone_bytes_per_s: 0}\n  servers: [{name: d, address: "
		"\"127.0.0.1:9001\", zone: a, slots: 1, connections: 1}]\n",
		weight);
}

/* Delivers a report, AGE_US old, that HOST has GENERATION in force. */
static void report_peer_generation(struct fixture *fixture, const char *host,
				   uint32_t generation, uint64_t age_us)
{
	char *body = make_body(generation);
	char digest[DOC_DIGEST_BYTES];

	doc_digest(body, strlen(body), digest);
	cp_on_peer_generation(&fixture->control, host, generation, digest,
			      age_us);
	g_free(body);
}

/*
 * Offers a body as GENERATION. CONTENT selects the body, DIGEST_OF the body
 * whose digest is given; if they differ, the digest does not match.
 */
static bool offer_body(struct fixture *fixture, uint64_t generation,
		       uint32_t content, uint32_t digest_of)
{
	char *body = make_body(content);
	char *other = make_body(digest_of);
	char digest[DOC_DIGEST_BYTES];
	bool accepted;

	doc_digest(other, strlen(other), digest);
	accepted = cp_offer_body(&fixture->control, generation, digest, body,
				 strlen(body));
	g_free(body);
	g_free(other);
	return accepted;
}

/* Whether GENERATION is to be put in force and its body still missing. */
static bool is_missing(struct fixture *fixture, uint64_t generation)
{
	char digest[DOC_DIGEST_BYTES];
	uint64_t wanted;

	return cp_get_missing(&fixture->control, &wanted, digest) &&
	       wanted == generation;
}

/*
 * Guards against a new host that starts with an outdated document and so undoes
 * later changes for its callers. Without the platform it must wait until more
 * than half of the seed peers have reported, and then use the highest
 * generation that they reported.
 */
START_TEST(bootstrapping_host_waits_for_majority_of_seeds)
{
	struct fixture fixture;

	fixture_init(&fixture);
	/* No read has failed yet, so the host still waits for the platform. */
	report_peer_generation(&fixture, "entry-1", 3, 0);
	report_peer_generation(&fixture, "entry-2", 3, 0);
	report_peer_generation(&fixture, "entry-3", 3, 0);
	ck_assert(!is_missing(&fixture, 3));
	fixture_free(&fixture);

	fixture_init(&fixture);
	wait_read_failed(&fixture);
	/* Only two of the four seed peers count: entry-0 is this host, entry-2
	 * reports twice, entry-3 has no document, and the report of entry-4 is
	 * older than 10 s. */
	report_peer_generation(&fixture, "entry-0", 9, 0);
	report_peer_generation(&fixture, "entry-1", 3, 0);
	report_peer_generation(&fixture, "entry-2", 4, 0);
	report_peer_generation(&fixture, "entry-2", 4, 0);
	report_peer_generation(&fixture, "entry-3", 0, 0);
	report_peer_generation(&fixture, "entry-4", 5,
			       11 * (uint64_t)SECOND_US);
	ck_assert(!is_missing(&fixture, 4));
	ck_assert(!offer_body(&fixture, 4, 4, 4));
	report_peer_generation(&fixture, "entry-4", 2, 0);
	ck_assert(is_missing(&fixture, 4));
	ck_assert(!offer_body(&fixture, 3, 3, 3));
	ck_assert(offer_body(&fixture, 4, 4, 4));
	ck_assert_uint_eq(fixture.last_generation, 4);
	fixture_free(&fixture);
}
END_TEST

/*
 * Guards against putting in force a body that is not the accepted document or
 * is older than the one in force, when a faulty or outdated peer sends one. A
 * report with a malformed digest must not select a document.
 */
START_TEST(offered_bodies_must_match_digest_and_be_newer)
{
	struct fixture fixture;

	fixture_init(&fixture);
	wait_read_failed(&fixture);
	report_peer_generation(&fixture, "entry-1", 3, 0);
	report_peer_generation(&fixture, "entry-2", 3, 0);
	report_peer_generation(&fixture, "entry-3", 3, 0);
	ck_assert(!offer_body(&fixture, 3, 4, 3));
	ck_assert(!offer_body(&fixture, 3, 4, 4));
	ck_assert(offer_body(&fixture, 3, 3, 3));
	ck_assert(!offer_body(&fixture, 2, 2, 2));
	ck_assert(!offer_body(&fixture, 3, 4, 4));
	ck_assert_uint_eq(fixture.control.document->generation, 3);
	report_peer_generation(&fixture, "entry-9", 6, 0);
	ck_assert(is_missing(&fixture, 6));
	ck_assert(offer_body(&fixture, 6, 6, 6));
	ck_assert(!is_missing(&fixture, 6));
	ck_assert_uint_eq(fixture.last_generation, 6);
	cp_on_peer_generation(&fixture.control, "entry-1", 7, "../x", 0);
	ck_assert(!is_missing(&fixture, 7));
	fixture_free(&fixture);
}
END_TEST

/*
 * Guards against a read rate on the platform that grows with the number of
 * hosts, as it does if each host reads at a fixed interval: from 3 to 100,000
 * hosts, all together must read about ten times a second.
 */
START_TEST(platform_read_rate_is_bounded)
{
	static const uint32_t counts[] = { 3, 17, 1000, 100000 };
	struct fixture fixture;

	fixture_init(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		uint64_t reads_per_s;

		cp_set_host_count(&fixture.control, counts[i]);
		reads_per_s = (uint64_t)counts[i] * SECOND_US /
			      cp_poll_interval_us(&fixture.control);
		ck_assert_uint_ge(reads_per_s, 9);
		ck_assert_uint_le(reads_per_s, 12);
	}
	fixture_free(&fixture);
}
END_TEST

static void record_answer(void *ctx, const struct cp_answer *answer)
{
	*(enum st_kind *)ctx = answer->status.kind;
}

/*
 * Guards against submissions that are neither answered nor freed when the host
 * stops while they wait for the platform.
 */
START_TEST(pending_submissions_are_answered_on_stop)
{
	enum st_kind kind = ST_OK;
	struct cp_callback callback = { record_answer, &kind };
	char *body = make_body(1);
	struct cp_request request = { .text = body,
				      .text_bytes = strlen(body),
				      .author = "ann" };
	struct fixture fixture;

	fixture_init(&fixture);
	cp_submit_document(&fixture.control, &request, &callback);
	fixture_free(&fixture);
	ck_assert_int_eq(kind, ST_STOPPING);
	g_free(body);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("control");

	tcase_add_test(tcase, bootstrapping_host_waits_for_majority_of_seeds);
	tcase_add_test(tcase, offered_bodies_must_match_digest_and_be_newer);
	tcase_add_test(tcase, platform_read_rate_is_bounded);
	tcase_add_test(tcase, pending_submissions_are_answered_on_stop);
	return suite_run_case("control", tcase, CK_FORK_GETENV);
}
