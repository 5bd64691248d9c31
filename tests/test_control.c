/* Following documents without the platform: peers, bodies, read interval. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "tests/suite.h"

enum { SEEDS = 5, SECOND_US = 1000 * 1000, MAX_TURNS = 1000 };

/* A control task whose platform refuses every connection. */
struct world {
	uv_loop_t loop;
	struct tm_service timers;
	struct kn_kernel kernel;
	struct pf_client platform;
	struct se_settings settings;
	struct cp_control control;
	struct kn_task listener;
	uint64_t last_generation; /* announced by KN_DOCUMENT */
};

static void on_message(void *ctx, const struct kn_msg *msg)
{
	struct world *world = ctx;
	const struct kn_msg_document *document = (const void *)msg;

	if (msg->kind == KN_DOCUMENT)
		world->last_generation = document->document->generation;
}

static void open_world(struct world *world)
{
	struct st_status status;

	memset(world, 0, sizeof(*world));
	g_strlcpy(world->settings.host, "entry-0", SE_NAME_BYTES);
	world->settings.random_seed = 1;
	world->settings.seed_count = SEEDS;
	for (int i = 0; i < SEEDS; i++) {
		char text[NT_TEXT_BYTES];

		snprintf(text, sizeof(text), "127.0.0.1:%d", 7000 + i);
		ck_assert(nt_parse(text, &world->settings.seeds[i]));
	}
	world->settings.peers = world->settings.seeds[0];
	/* Port 1 is reserved and has no listener. */
	ck_assert(nt_parse("127.0.0.1:1", &world->settings.platform));
	uv_loop_init(&world->loop);
	tm_init(&world->timers, &world->loop);
	kn_init(&world->kernel, &world->loop);
	pf_init(&world->platform, &world->loop, &world->timers,
		&world->settings.platform);
	world->listener = (struct kn_task){ "listener", on_message, world };
	kn_register(&world->kernel, &world->listener, &status);
	ck_assert_int_eq(cp_init(&world->control, &world->kernel,
				 &world->timers, &world->platform,
				 &world->settings, &status),
			 ST_OK);
}

/* Until the first read of the current row has failed. */
static void wait_read_failed(struct world *world)
{
	for (int i = 0; i < MAX_TURNS && !world->control.row_read_failed; i++)
		uv_run(&world->loop, UV_RUN_ONCE);
	ck_assert(world->control.row_read_failed);
}

static void close_world(struct world *world)
{
	pf_free(&world->platform);
	cp_free(&world->control);
	kn_free(&world->kernel);
	tm_free(&world->timers);
	uv_run(&world->loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&world->loop), 0);
}

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

static void peer_has(struct world *world, const char *host, uint32_t generation,
		     uint64_t age_us)
{
	char *body = make_body(generation);
	char digest[DOC_DIGEST_BYTES];

	doc_digest(body, strlen(body), digest);
	cp_on_peer_generation(&world->control, host, generation, digest,
			      age_us);
	g_free(body);
}

/* Offers the body of one generation under the number of another. */
static bool offer(struct world *world, uint64_t generation, uint32_t content,
		  uint32_t digest_of)
{
	char *body = make_body(content);
	char *other = make_body(digest_of);
	char digest[DOC_DIGEST_BYTES];
	bool taken;

	doc_digest(other, strlen(other), digest);
	taken = cp_offer_body(&world->control, generation, digest, body,
			      strlen(body));
	g_free(body);
	g_free(other);
	return taken;
}

static bool wants(struct world *world, uint64_t generation)
{
	char digest[DOC_DIGEST_BYTES];
	uint64_t wanted;

	return cp_get_missing(&world->control, &wanted, digest) &&
	       wanted == generation;
}

/* A fresh host that begins with an old document reverts the callers' view. */
START_TEST(fresh_host_waits_for_a_majority_of_seeds)
{
	struct world world;

	open_world(&world);
	/* The platform has not failed yet, so the peers do not decide. */
	peer_has(&world, "entry-1", 3, 0);
	peer_has(&world, "entry-2", 3, 0);
	peer_has(&world, "entry-3", 3, 0);
	ck_assert(!wants(&world, 3));
	close_world(&world);

	open_world(&world);
	wait_read_failed(&world);
	peer_has(&world, "entry-0", 9, 0); /* itself */
	peer_has(&world, "entry-1", 3, 0);
	peer_has(&world, "entry-2", 4, 0);
	peer_has(&world, "entry-2", 4, 0); /* again */
	peer_has(&world, "entry-3", 0, 0); /* without a document */
	peer_has(&world, "entry-4", 5, 11 * (uint64_t)SECOND_US); /* too old */
	ck_assert(!wants(&world, 4));
	ck_assert(!offer(&world, 4, 4, 4));
	peer_has(&world, "entry-4", 2, 0);
	ck_assert(wants(&world, 4));
	ck_assert(!offer(&world, 3, 3, 3));
	ck_assert(offer(&world, 4, 4, 4));
	ck_assert_uint_eq(world.last_generation, 4);
	close_world(&world);
}
END_TEST

/* A body that is not the accepted one, or older than the one in force. */
START_TEST(offered_bodies_are_checked_and_never_older)
{
	struct world world;

	open_world(&world);
	wait_read_failed(&world);
	peer_has(&world, "entry-1", 3, 0);
	peer_has(&world, "entry-2", 3, 0);
	peer_has(&world, "entry-3", 3, 0);
	ck_assert(!offer(&world, 3, 4, 3));
	ck_assert(!offer(&world, 3, 4, 4));
	ck_assert(offer(&world, 3, 3, 3));
	ck_assert(!offer(&world, 2, 2, 2));
	ck_assert(!offer(&world, 3, 4, 4));
	ck_assert_uint_eq(world.control.document->generation, 3);
	peer_has(&world, "entry-9", 6, 0);
	ck_assert(wants(&world, 6));
	ck_assert(offer(&world, 6, 6, 6));
	ck_assert(!wants(&world, 6));
	ck_assert_uint_eq(world.last_generation, 6);
	cp_on_peer_generation(&world.control, "entry-1", 7, "../x", 0);
	ck_assert(!wants(&world, 7));
	close_world(&world);
}
END_TEST

/* Many hosts must not read the platform more often than few. */
START_TEST(reads_of_all_hosts_are_bounded)
{
	static const uint32_t counts[] = { 3, 17, 1000, 100000 };
	struct world world;

	open_world(&world);
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		uint64_t reads_per_s;

		cp_set_host_count(&world.control, counts[i]);
		reads_per_s = (uint64_t)counts[i] * SECOND_US /
			      cp_poll_interval_us(&world.control);
		ck_assert_uint_ge(reads_per_s, 9);
		ck_assert_uint_le(reads_per_s, 12);
	}
	close_world(&world);
}
END_TEST

static void note_answer(void *ctx, const struct cp_answer *answer)
{
	*(enum st_kind *)ctx = answer->status.kind;
}

/* A stop must answer what is in progress instead of leaking it. */
START_TEST(submissions_end_when_the_host_stops)
{
	enum st_kind kind = ST_OK;
	struct cp_callback callback = { note_answer, &kind };
	char *body = make_body(1);
	struct cp_request request = { .text = body,
				      .text_bytes = strlen(body),
				      .author = "ann" };
	struct world world;

	open_world(&world);
	cp_submit(&world.control, &request, &callback);
	close_world(&world);
	ck_assert_int_eq(kind, ST_STOPPING);
	g_free(body);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("control");
	TCase *tcase = tcase_create("control");

	tcase_add_test(tcase, fresh_host_waits_for_a_majority_of_seeds);
	tcase_add_test(tcase, offered_bodies_are_checked_and_never_older);
	tcase_add_test(tcase, reads_of_all_hosts_are_bounded);
	tcase_add_test(tcase, submissions_end_when_the_host_stops);
	suite_add_tcase(suite, tcase);
	return suite_run(suite, CK_FORK_GETENV);
}
