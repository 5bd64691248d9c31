/* Tests of the messages, the gossip and the membership of entry hosts. */
#include <check.h>
#include <stdlib.h>

#include "base/counter.h"
#include "peer_sim.h"
#include "tests/suite.h"

enum {
	FUZZ_INPUTS = 4000,
	VERIFIER_OFFSET = 40, /* in an RPC call, after the fixed fields */
	HMAC_BYTES = 32
};

static const uint64_t second_us = 1000 * 1000;
static const char *const key = "peer-key-for-tests";

/* Encodes a heartbeat call with two members and a leaving server. */
static size_t encode_heartbeat(char *data, size_t data_bytes)
{
	struct pr_msg_member rows[] = {
		{ "entry-8", "gs-a", "127.0.0.1:8", 8, 10, PR_MSG_ALIVE, 0 },
		{ "entry-9", "gs-b", "127.0.0.1:9", 9, 10, PR_MSG_SUSPECT, 1 },
	};
	struct pr_msg_leaving leaving[] = { { "ordering-3", 5 } };
	struct pr_msg msg = { .xid = 5, .procedure = PR_HEARTBEAT };

	msg.origin.host = "entry-7";
	msg.origin.incarnation = 3;
	msg.origin.sequence = 4;
	msg.origin.to_address = "127.0.0.1:1000";
	msg.u.heartbeat.zone = "gs-a";
	msg.u.heartbeat.address = "127.0.0.1:1001";
	msg.u.heartbeat.generation = 6;
	msg.u.heartbeat.sample.sample_len = 2;
	msg.u.heartbeat.sample.sample_val = rows;
	msg.u.heartbeat.leaving.leaving_len = 1;
	msg.u.heartbeat.leaving.leaving_val = leaving;
	return pr_wire_encode(key, &msg, data, data_bytes);
}

static bool heartbeat_decodes(const char *with_key, const char *data,
			      size_t bytes)
{
	struct pr_msg msg;

	if (!pr_wire_decode(with_key, PR_HEARTBEAT, data, bytes, &msg))
		return false;
	pr_wire_free(&msg);
	return true;
}

/*
 * Guards against forged messages: a truncated or extended message, one with any
 * single bit changed, and one signed with another key must be rejected.
 */
START_TEST(altered_messages_are_rejected)
{
	char data[PR_MAX_DATAGRAM_BYTES + 8] = { 0 };
	size_t bytes = encode_heartbeat(data, PR_MAX_DATAGRAM_BYTES);
	struct pr_msg msg;

	ck_assert_uint_gt(bytes, 0);
	ck_assert(pr_wire_decode(key, PR_HEARTBEAT, data, bytes, &msg));
	ck_assert_str_eq(msg.origin.host, "entry-7");
	ck_assert_uint_eq(msg.u.heartbeat.sample.sample_len, 2);
	ck_assert_str_eq(msg.u.heartbeat.sample.sample_val[1].name, "entry-9");
	ck_assert_str_eq(msg.u.heartbeat.leaving.leaving_val[0].server,
			 "ordering-3");
	pr_wire_free(&msg);
	ck_assert(!heartbeat_decodes("another-key-for-tests", data, bytes));
	for (size_t i = 0; i < bytes; i++)
		ck_assert(!heartbeat_decodes(key, data, i));
	ck_assert(!heartbeat_decodes(key, data, bytes + 4));
	for (size_t i = 0; i < bytes * 8; i++) {
		data[i / 8] ^= (char)(1 << i % 8);
		/* All bytes are signed, the transaction id included. */
		ck_assert(!heartbeat_decodes(key, data, bytes));
		data[i / 8] ^= (char)(1 << i % 8);
	}
	ck_assert_uint_eq(encode_heartbeat(data, bytes - 1), 0);
}
END_TEST

/* Signs an encoded call again after its bytes were changed. */
static void sign_call(char *data, size_t bytes)
{
	gsize hmac_bytes = HMAC_BYTES;
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));

	memset(data + VERIFIER_OFFSET, 0, HMAC_BYTES);
	g_hmac_update(hmac, (const guchar *)data, (gssize)bytes);
	g_hmac_get_digest(hmac, (guchar *)data + VERIFIER_OFFSET, &hmac_bytes);
	g_hmac_unref(hmac);
}

/*
 * Guards against crashes while decoding and against tables that grow without a
 * limit. Random bytes must all be rejected; a mutated heartbeat with a valid
 * signature may be accepted.
 */
START_TEST(fuzzed_datagrams_do_not_crash_the_host)
{
	GRand *random = g_rand_new_with_seed(11);
	char data[2 * PR_MAX_DATAGRAM_BYTES];
	uint64_t rejected_before;
	struct sim sim;

	sim_init(&sim, 2);
	rejected_before = ct_get(CT_PEER_REJECTED);
	for (int i = 0; i < FUZZ_INPUTS; i++) {
		size_t bytes =
			(size_t)g_rand_int_range(random, 0, sizeof(data));

		for (size_t k = 0; k < bytes; k++)
			data[k] = (char)g_rand_int(random);
		pr_gossip_receive(&sim.hosts[0].gossip, sim.now_us,
				  &sim.hosts[1].address, data, bytes);
	}
	ck_assert_uint_eq(ct_get(CT_PEER_REJECTED) - rejected_before,
			  FUZZ_INPUTS);
	for (int i = 0; i < FUZZ_INPUTS; i++) {
		size_t bytes = encode_heartbeat(data, PR_MAX_DATAGRAM_BYTES);
		size_t end = VERIFIER_OFFSET + HMAC_BYTES;

		for (int k = i % 4; k >= 0; k--)
			data[g_rand_int_range(random, (gint32)end,
					      (gint32)bytes)] =
				(char)g_rand_int(random);
		bytes -= i % 3 ? 0 : 4 * (size_t)g_rand_int_range(random, 0, 9);
		sign_call(data, bytes);
		pr_gossip_receive(&sim.hosts[0].gossip, sim.now_us,
				  &sim.hosts[1].address, data, bytes);
	}
	ck_assert_uint_le(sim.hosts[0].gossip.table.members->len, FUZZ_INPUTS);
	ck_assert_uint_le(sim.hosts[0].gossip.leaving_count,
			  PR_MAX_LEAVING_SERVERS);
	sim_free(&sim);
	g_rand_free(random);
}
END_TEST

/*
 * Guards against replayed datagrams: reordered messages are accepted once;
 * duplicates, messages that are older than the window and those of an earlier
 * incarnation are rejected.
 */
START_TEST(replay_window_accepts_each_message_once)
{
	struct pr_replay_window window = { 0 };

	ck_assert(pr_replay_window_accept(&window, 5, 100));
	ck_assert(!pr_replay_window_accept(&window, 5, 100));
	ck_assert(pr_replay_window_accept(&window, 5, 103));
	ck_assert(pr_replay_window_accept(&window, 5, 101));
	ck_assert(!pr_replay_window_accept(&window, 5, 101));
	ck_assert(pr_replay_window_accept(&window, 5, 102));
	ck_assert(pr_replay_window_accept(&window, 5, 103 + PR_WINDOW_BITS));
	ck_assert(!pr_replay_window_accept(&window, 5, 103));
	ck_assert(!pr_replay_window_accept(&window, 5, 1));
	ck_assert(pr_replay_window_accept(&window, 5, 104));
	ck_assert(pr_replay_window_accept(&window, 5, 1000));
	ck_assert(!pr_replay_window_accept(&window, 5, 104));
	ck_assert(pr_replay_window_accept(&window, 6, 1));
	ck_assert(!pr_replay_window_accept(&window, 5, 2000));
}
END_TEST

/*
 * Messages to another address or to an earlier incarnation of this host must be
 * dropped. Otherwise recorded messages could be replayed to another host, or to
 * this one after a restart.
 */
START_TEST(messages_for_other_receivers_are_dropped)
{
	struct nt_address address;
	struct pr_msg_origin origin = { .to_address = "127.0.0.1:1000" };
	struct sim sim;

	sim_init(&sim, 1);
	nt_parse("127.0.0.1:1000", &address);
	ck_assert(pr_gossip_is_for_us(&sim.hosts[0].gossip, &origin));
	origin.to_incarnation = sim.hosts[0].gossip.conf.incarnation;
	ck_assert(pr_gossip_is_for_us(&sim.hosts[0].gossip, &origin));
	origin.to_incarnation--;
	ck_assert(!pr_gossip_is_for_us(&sim.hosts[0].gossip, &origin));
	origin.to_incarnation = 0;
	origin.to_address = "127.0.0.1:1001";
	ck_assert(!pr_gossip_is_for_us(&sim.hosts[0].gossip, &origin));
	sim_free(&sim);
}
END_TEST

/* Replayed heartbeats of a dead host must not keep it in the host list. */
START_TEST(replayed_host_is_removed)
{
	struct sim sim;

	sim_init(&sim, 8);
	sim.captured = g_ptr_array_new_with_free_func(g_free);
	sim.capture_from = 5;
	sim.capture_to = 3;
	sim_run(&sim, 20 * second_us);
	ck_assert_uint_eq(sim_count_listing(&sim, 8), 8);
	ck_assert_uint_gt(sim.captured->len, 5);
	sim.hosts[5].up = false;
	for (int second = 0; second < 20; second++) {
		for (guint i = 0; i < sim.captured->len; i++)
			sim_deliver(&sim, sim.captured->pdata[i]);
		sim_run(&sim, second_us);
	}
	ck_assert_uint_eq(sim.hosts[3].listed, 7);
	sim_free(&sim);
}
END_TEST

/*
 * Guards against datagrams above PR_MAX_DATAGRAM_BYTES: with names of the
 * greatest length not all rows fit into a heartbeat.
 */
START_TEST(datagrams_stay_small_with_long_names)
{
	struct sim sim;

	sim_init(&sim, 40);
	for (uint32_t i = 0; i < sim.count; i++) {
		size_t used = strlen(sim.hosts[i].name);

		memset(sim.hosts[i].name + used, 'x', PR_NAME_BYTES - 1 - used);
		sim_restart_host(&sim, i);
	}
	for (int i = 0; i < 20; i++) {
		char name[PR_NAME_BYTES];

		g_snprintf(name, sizeof(name), "%063d", i);
		pr_gossip_add_leaving_server(&sim.hosts[0].gossip, sim.now_us,
					     name, 0);
	}
	sim_run(&sim, 20 * second_us);
	ck_assert_uint_eq(sim_count_listing(&sim, 40), 40);
	ck_assert_uint_le(sim.largest_bytes, PR_MAX_DATAGRAM_BYTES);
	for (uint32_t i = 0; i < sim.count; i++)
		ck_assert_uint_eq(sim.hosts[i].leaving_notices, 20);
	sim_free(&sim);
}
END_TEST

/*
 * With 2 % of the messages lost, all hosts must find each other, no live host
 * may be removed, and every host must remove the dead ones in bounded time.
 */
START_TEST(members_converge_and_dead_hosts_are_removed)
{
	enum { COUNT = 200, DEAD = 20 };
	struct sim sim;

	sim_init(&sim, COUNT);
	sim.loss_percent = 2;
	pr_gossip_set_generation(&sim.hosts[0].gossip, sim.now_us, 1, "00");
	ck_assert_uint_lt(
		sim_run_until_listed(&sim, COUNT, COUNT, 60 * second_us),
		60 * second_us);
	for (uint32_t i = 0; i < COUNT; i++)
		sim.hosts[i].list_changes = 0;
	sim_run(&sim, 30 * second_us);
	for (uint32_t i = 0; i < COUNT; i++)
		ck_assert_uint_eq(sim.hosts[i].list_changes, 0);
	for (uint32_t i = 0; i < DEAD; i++)
		sim.hosts[COUNT - 1 - i].up = false;
	ck_assert_uint_lt(sim_run_until_listed(&sim, COUNT - DEAD, COUNT - DEAD,
					       60 * second_us),
			  12 * second_us);
	sim_free(&sim);
}
END_TEST

/*
 * A paused host must be removed from the lists and, when it resumes, be listed
 * again with the same incarnation. It must not suspect the others of having
 * been silent during its pause. A restarted host must be listed at once.
 */
START_TEST(paused_and_restarted_hosts_are_listed_again)
{
	struct sim sim;

	sim_init(&sim, 16);
	sim_run(&sim, 5 * second_us);
	ck_assert_uint_eq(sim_count_listing(&sim, 16), 16);
	sim.hosts[9].paused = true;
	sim_run(&sim, 10 * second_us);
	ck_assert_uint_eq(sim_count_listing(&sim, 15), 15);
	sim.hosts[9].paused = false;
	sim_run(&sim, 5 * second_us);
	ck_assert_uint_eq(sim_count_listing(&sim, 16), 16);
	for (uint32_t i = 0; i < 16; i++)
		sim.hosts[i].list_changes = 0;
	sim_restart_host(&sim, 4);
	sim.hosts[4].list_changes = 0;
	sim_run(&sim, 10 * second_us);
	ck_assert_uint_eq(sim_count_listing(&sim, 16), 16);
	/* The only change is the new incarnation of host 4. */
	ck_assert_uint_eq(sim.hosts[9].list_changes, 1);
	sim_free(&sim);
}
END_TEST

/*
 * Guards against a host list that changes each time a host goes down or comes
 * up: a flapping host is held back, but it must be listed again once it is
 * stable.
 */
START_TEST(flapping_host_is_held_back)
{
	enum { TURNS = 8 };
	struct sim sim;

	sim_init(&sim, 8);
	sim_run(&sim, 5 * second_us);
	sim.hosts[0].list_changes = 0;
	for (int i = 0; i < TURNS; i++) {
		sim.hosts[7].paused = true;
		sim_run(&sim, 8 * second_us);
		sim.hosts[7].paused = false;
		sim_run(&sim, 4 * second_us);
	}
	ck_assert_uint_le(sim.hosts[0].list_changes, TURNS);
	sim_run(&sim, 70 * second_us);
	ck_assert_uint_eq(sim_count_listing(&sim, 8), 8);
	sim_free(&sim);
}
END_TEST

/*
 * The platform's host list lags behind: it may mark a host as draining, but it
 * must not make a host live from which no heartbeat was received.
 */
START_TEST(platform_list_makes_no_host_live)
{
	struct sim sim;
	struct pr_gossip *gossip;
	const struct pr_host *rows;

	sim_init(&sim, 3);
	sim.hosts[2].up = false;
	gossip = &sim.hosts[0].gossip;
	pr_gossip_begin_platform_list(gossip);
	pr_gossip_add_platform_host(gossip, "entry-2", &sim.hosts[2].address,
				    false);
	sim_run(&sim, 5 * second_us);
	ck_assert_uint_eq(sim.hosts[0].listed, 2);
	pr_gossip_begin_platform_list(gossip);
	pr_gossip_add_platform_host(gossip, "entry-1", NULL, true);
	sim_run(&sim, second_us);
	rows = (const struct pr_host *)(void *)gossip->hosts->data;
	ck_assert_uint_eq(gossip->hosts->len, 2);
	ck_assert(!rows[0].draining);
	ck_assert(rows[1].draining);
	sim_free(&sim);
}
END_TEST

/*
 * Guards against a host that ends while another one still counts it as live: of few
 * hosts each must hear of a planned stop at once, though calls go to random ones.
 */
START_TEST(every_host_of_few_hears_of_a_stop)
{
	enum { COUNT = 4, SEEDS = 20 };

	for (guint32 seed = 0; seed < SEEDS; seed++) {
		struct sim sim;
		const struct pr_member *member;

		sim_init(&sim, COUNT);
		sim_run(&sim, 5 * second_us);
		g_rand_set_seed(sim.hosts[3].gossip.random, seed);
		pr_gossip_drain(&sim.hosts[3].gossip, sim.now_us);
		sim_run(&sim, second_us / 20);
		for (int i = 0; i < COUNT - 1; i++) {
			member = pr_table_find(&sim.hosts[i].gossip.table,
					       sim.hosts[3].name);
			ck_assert_ptr_nonnull(member);
			ck_assert(member->draining);
		}
		sim_free(&sim);
	}
}
END_TEST

/* Returns the messages that a host sends in 10 s; BYTES receives their size. */
static double measure_traffic_per_host(uint32_t count, double *bytes)
{
	struct sim sim;
	double messages;

	sim_init(&sim, count);
	pr_gossip_set_generation(&sim.hosts[0].gossip, sim.now_us, 1, "00");
	sim_run_until_listed(&sim, count, count, 60 * second_us);
	sim_run(&sim, 15 * second_us);
	sim.sent_messages = 0;
	sim.sent_bytes = 0;
	sim_run(&sim, 10 * second_us);
	messages = (double)sim.sent_messages / count;
	*bytes = (double)sim.sent_bytes / count;
	sim_free(&sim);
	return messages;
}

/*
 * Guards against heartbeats from each host to all others, whose number would
 * grow with the number of hosts.
 */
START_TEST(traffic_per_host_does_not_grow_with_host_count)
{
	double few_bytes;
	double many_bytes;
	double few = measure_traffic_per_host(20, &few_bytes);
	double many = measure_traffic_per_host(120, &many_bytes);

	ck_assert(many <= few * 1.1);
	ck_assert(many_bytes <= few_bytes * 1.3);
}
END_TEST

/*
 * A new generation must reach every host through gossip within 5 s, although
 * 2 % of the messages are lost and no host reads it from the platform.
 */
START_TEST(generation_reaches_every_host)
{
	enum { COUNT = 200 };
	struct sim sim;

	sim_init(&sim, COUNT);
	sim.loss_percent = 2;
	pr_gossip_set_generation(&sim.hosts[0].gossip, sim.now_us, 1, "00");
	sim_run(&sim, 20 * second_us);
	pr_gossip_set_generation(&sim.hosts[77].gossip, sim.now_us, 2, "00");
	sim_run(&sim, 5 * second_us);
	for (uint32_t i = 0; i < COUNT; i++)
		ck_assert_uint_eq(sim.hosts[i].gossip.generation, 2);
	sim_free(&sim);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("peer");
	TCase *wire = tcase_create("wire");
	TCase *replay = tcase_create("replay");
	TCase *members = tcase_create("members");

	tcase_add_test(wire, altered_messages_are_rejected);
	tcase_add_test(wire, fuzzed_datagrams_do_not_crash_the_host);
	tcase_add_test(wire, datagrams_stay_small_with_long_names);
	tcase_add_test(replay, replay_window_accepts_each_message_once);
	tcase_add_test(replay, messages_for_other_receivers_are_dropped);
	tcase_add_test(replay, replayed_host_is_removed);
	tcase_add_test(members, members_converge_and_dead_hosts_are_removed);
	tcase_add_test(members, paused_and_restarted_hosts_are_listed_again);
	tcase_add_test(members, flapping_host_is_held_back);
	tcase_add_test(members, platform_list_makes_no_host_live);
	tcase_add_test(members, every_host_of_few_hears_of_a_stop);
	tcase_add_test(members, traffic_per_host_does_not_grow_with_host_count);
	tcase_add_test(members, generation_reaches_every_host);
	suite_add_tcase(suite, wire);
	suite_add_tcase(suite, replay);
	suite_add_tcase(suite, members);
	return suite_run(suite, CK_FORK_GETENV);
}
