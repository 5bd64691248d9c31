/*
 * Tests of quotas while hosts join, leave, come back and sleep: a few hosts, each with a
 * list of its own, simulated time, and messages that take 10 ms. Guards against hosts whose
 * lists differ giving a customer more than its quota in sum, in any window of 5 s, and
 * against a customer that loses requests within its quota.
 */
#include <string.h>

#include "core/quota.h"
#include "base/text.h"
#include "tests/quota_sim.h"
#include "tests/suite.h"

enum {
	MAX_NODES = 16,
	TIMEOUT_MS = 800,
	TICK_MS = 500,
	MAX_S = 60,
	/* With 12 names, each of a few hosts is the first of some. */
	CUSTOMERS = 12,
	RATE = 150,
	BURST = 30,
	/* Requests a second, within the quota and far above it. */
	USUAL = 94,
	HOT = 700,
	/* (RATE x 5 + BURST) x 1.1 + SLACK */
	MOST = 878
};

struct node {
	struct qt_quotas quotas;
	bool lists[MAX_NODES];
	bool runs;
	bool cut; /* no message passes */
	bool serves_none; /* it is not ready: no caller comes */
	uint64_t sleeps_until_us;
	uint64_t next_check_us;
	uint64_t next_tick_us;
};

static struct node nodes[MAX_NODES];
static uint32_t starts[MAX_NODES];
static bool stored[MAX_NODES]; /* rows of the table */
static char *names[CUSTOMERS];
static uint32_t admitted[CUSTOMERS][MAX_S * STEPS_PER_S];
static uint32_t sent, refused;
static bool quotas_later; /* hosts start without quotas */
static double load; /* requests a second of each customer */
static double due[CUSTOMERS];
static void set_customers(struct node *node)
{
	struct doc_customers *customers = doc_customers_new(CUSTOMERS);

	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		customers->rows[i].name = tx_ref(names[i]);
		customers->rows[i].rate_milli = RATE * 1000;
		customers->rows[i].burst_milli = BURST * 1000;
	}
	qt_set_customers(&node->quotas, customers, now_us);
	doc_customers_unref(customers);
}

static void use_list(struct node *node)
{
	uint64_t list[MAX_NODES];
	uint32_t count = 0;

	for (uint32_t i = 0; i < MAX_NODES; i++)
		if (node->lists[i])
			list[count++] = hashes[i];
	qt_set_hosts(&node->quotas, list, count);
}

/* Takes over what HOSTS has and the list lacks. */
static void merge_list(struct node *node, const bool *hosts)
{
	bool changed = false;

	for (uint32_t i = 0; i < MAX_NODES; i++) {
		changed |= hosts[i] && !node->lists[i];
		node->lists[i] |= hosts[i];
	}
	if (changed)
		use_list(node);
}

/* Starts the host, which reads the table; its row is written before. */
static void start_node(uint32_t i, bool first_start)
{
	struct qt_driver driver = { random_u32, NULL, NULL };
	struct node *node = &nodes[i];
	bool is_new = !stored[i];

	memset(node, 0, sizeof(*node));
	starts[i]++;
	stored[i] = true;
	memcpy(node->lists, stored, sizeof(stored));
	qt_init(&node->quotas, &driver, hashes[i], SLACK);
	if (!first_start)
		qt_join(&node->quotas, is_new ? QT_JOIN_NEW : QT_JOIN_AGAIN,
			now_us);
	use_list(node);
	if (!quotas_later)
		set_customers(node);
	node->runs = true;
}

static void stop_node(uint32_t i)
{
	qt_free(&nodes[i].quotas);
	nodes[i].runs = false;
}

/* Starts N hosts that know each other. */
static void start_nodes(uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		stored[i] = true;
	for (uint32_t i = 0; i < n; i++)
		start_node(i, true);
}

static void setup(void)
{
	sim_begin(1, names, CUSTOMERS);
	load = USUAL;
}

static bool is_awake(const struct node *node)
{
	return node->runs && now_us >= node->sleeps_until_us;
}

static void deliver(struct flight *flight)
{
	struct node *to = &nodes[flight->to];
	bool passes = !to->cut && !nodes[flight->from].cut;

	flight->refused = passes && !to->runs;
	if (passes && to->runs && !is_awake(to))
		return; /* it waits in the socket */
	flight->arrived = true;
	flight->at_us = now_us + (uint64_t)DELAY_MS * MS;
	if (flight->refused)
		return;
	if (!passes) {
		flight->at_us += (uint64_t)TIMEOUT_MS * MS;
		return;
	}
	if (flight->message->asks && !to->serves_none &&
	    !to->lists[flight->from]) {
		to->lists[flight->from] = true;
		use_list(to);
	}
	flight->answer = qt_message_new(0);
	qt_on_message(&to->quotas, hashes[flight->from], flight->message,
		      flight->answer, now_us);
	memcpy(flight->lists, to->lists, sizeof(to->lists));
}

static void finish(struct flight *flight)
{
	struct node *from = &nodes[flight->from];

	if (!from->runs || starts[flight->from] != flight->start) {
		qt_message_free(flight->message);
	} else if (flight->answer && !from->cut) {
		if (flight->message->asks)
			merge_list(from, flight->lists);
		qt_on_answer(&from->quotas, flight->message, flight->answer,
			     now_us);
	} else {
		qt_on_lost(&from->quotas, flight->message, flight->refused,
			   now_us);
	}
	end_flight(flight);
}

static bool is_overdue(const struct flight *flight)
{
	return now_us >= flight->at_us + (uint64_t)TIMEOUT_MS * MS;
}

static void run_flights(void)
{
	for (guint i = flights->len; i--;) {
		struct flight *flight = g_ptr_array_index(flights, i);

		if (now_us < flight->at_us || (nodes[flight->from].runs &&
					       !is_awake(&nodes[flight->from])))
			continue;
		if (!flight->arrived)
			deliver(flight);
		if (!flight->arrived && !is_overdue(flight))
			continue;
		if (flight->arrived && now_us < flight->at_us)
			continue;
		g_ptr_array_remove_index_fast(flights, i);
		finish(flight);
	}
}

static void call(uint32_t c)
{
	uint32_t i = random_u32(NULL) % MAX_NODES;
	uint64_t retry_us;

	while (!is_awake(&nodes[i]) || nodes[i].serves_none)
		i = (i + 1) % MAX_NODES;
	sent++;
	if (qt_admit(&nodes[i].quotas, names[c], now_us, &retry_us))
		admitted[c][current_step()]++;
	else
		refused++;
}

static void run_calls(void)
{
	for (uint32_t c = 0; c < CUSTOMERS; c++)
		for (due[c] += load / STEPS_PER_S; due[c] >= 1; due[c]--)
			call(c);
}

static void run_node(uint32_t i)
{
	struct node *node = &nodes[i];

	if (now_us >= node->next_tick_us) {
		qt_tick(&node->quotas, now_us);
		node->next_tick_us = now_us + (uint64_t)TICK_MS * MS;
	}
	if (now_us < node->next_check_us && !qt_is_due(&node->quotas))
		return;
	if (now_us >= node->next_check_us)
		node->next_check_us = now_us + QT_CHECK_US;
	if (qt_has_work(&node->quotas))
		sim_send(&node->quotas, i, starts[i]);
}

static void run_for(uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += STEP_MS) {
		run_calls();
		run_flights();
		for (uint32_t i = 0; i < MAX_NODES; i++)
			if (is_awake(&nodes[i]))
				run_node(i);
		now_us += (uint64_t)STEP_MS * MS;
	}
}

static void check_upper_bound(void)
{
	for (uint32_t c = 0; c < CUSTOMERS; c++) {
		uint32_t most = sim_most_in_window(admitted[c], 0);

		ck_assert_msg(most <= MOST, "%s: %u of %u", names[c], most,
			      MOST);
	}
}

/* What follows is within the quota. */
static void forget_refusals(void)
{
	sent = 0;
	refused = 0;
}

static void check_nothing_is_lost(void)
{
	ck_assert_uint_gt(sent, 0);
	ck_assert_msg(!refused, "%u of %u refused", refused, sent);
}

static void check_shares_are_whole(uint32_t n)
{
	for (uint32_t i = 0; i < MAX_NODES; i++) {
		if (!nodes[i].runs)
			continue;
		ck_assert(!nodes[i].quotas.joining);
		ck_assert_uint_eq(nodes[i].quotas.sharing, n - 1);
	}
}

/* Hosts at first, and hosts that join. */
static const struct {
	uint32_t hosts;
	uint32_t joining;
} sizes[] = { { 1, 1 }, { 2, 1 }, { 2, 2 }, { 2, 6 }, { 3, 1 },
	      { 3, 9 }, { 5, 2 }, { 5, 5 }, { 8, 1 }, { 8, 8 } };

static void start_joining(uint32_t first, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		start_node(first + i, false);
}

START_TEST(hosts_join_before_the_load)
{
	start_nodes(sizes[_i].hosts);
	run_for(5000);
	start_joining(sizes[_i].hosts, sizes[_i].joining);
	run_for(2000);
	check_shares_are_whole(sizes[_i].hosts + sizes[_i].joining);
	load = HOT;
	run_for(12000);
	check_upper_bound();
}
END_TEST

START_TEST(hosts_join_amid_the_load)
{
	start_nodes(sizes[_i].hosts);
	run_for(5000);
	load = HOT;
	for (uint32_t i = 0; i < sizes[_i].joining; i++) {
		run_for(600);
		start_joining(sizes[_i].hosts + i, 1);
	}
	run_for(12000);
	check_upper_bound();
}
END_TEST

/* Each reads the table before the other's row is written. */
START_TEST(joining_hosts_learn_of_each_other)
{
	uint32_t n = sizes[_i].hosts;

	start_nodes(n);
	run_for(5000);
	for (uint32_t i = 0; i < sizes[_i].joining; i++) {
		start_node(n + i, false);
		stored[n + i] = false;
	}
	load = HOT;
	run_for(10000);
	check_shares_are_whole(n + sizes[_i].joining);
	check_upper_bound();
}
END_TEST

START_TEST(usual_load_loses_nothing_as_hosts_join)
{
	start_nodes(sizes[_i].hosts);
	run_for(5000);
	forget_refusals();
	start_joining(sizes[_i].hosts, sizes[_i].joining);
	run_for(10000);
	check_nothing_is_lost();
}
END_TEST

/* A host that has slept goes by the list of before. */
START_TEST(host_sleeps_while_others_join)
{
	static const uint32_t slept_ms[] = { 1500, 4000, 12000 };
	uint32_t n = sizes[_i % G_N_ELEMENTS(sizes)].hosts;
	uint32_t ms = slept_ms[_i / G_N_ELEMENTS(sizes)];

	start_nodes(n);
	run_for(5000);
	if (n > 1)
		nodes[0].sleeps_until_us = now_us + (uint64_t)ms * MS;
	run_for(500);
	start_joining(n, sizes[_i % G_N_ELEMENTS(sizes)].joining);
	run_for(ms / 2);
	load = HOT;
	run_for(ms / 2 + 12000);
	check_upper_bound();
}
END_TEST

/* The process ends; later it starts again. */
START_TEST(hosts_leave_and_come_back)
{
	uint32_t n = sizes[_i].hosts + sizes[_i].joining;
	start_nodes(n);
	run_for(5000);
	load = HOT;
	run_for(2000);
	for (uint32_t i = 0; i < n - 1 && i < 4; i++) {
		stop_node(i);
		run_for(700);
	}
	run_for(6000);
	for (uint32_t i = 0; i < n - 1 && i < 4; i++) {
		start_node(i, false);
		run_for(700);
	}
	run_for(6000);
	check_shares_are_whole(n);
	check_upper_bound();
}
END_TEST

/* The rest has the whole quota, not what those that left have of it. */
START_TEST(usual_load_loses_nothing_once_hosts_have_left)
{
	uint32_t n = sizes[_i].hosts + sizes[_i].joining;

	start_nodes(n);
	run_for(5000);
	for (uint32_t i = 0; i < n / 2; i++)
		stop_node(i);
	run_for(5000);
	forget_refusals();
	run_for(10000);
	check_nothing_is_lost();
	for (uint32_t i = 0; i < n / 2; i++)
		start_node(i, false);
	run_for(1000);
	check_shares_are_whole(n);
	forget_refusals();
	run_for(10000);
	check_nothing_is_lost();
}
END_TEST

/* All are killed, and start again with the list in the table. */
START_TEST(all_hosts_start_again)
{
	uint32_t n = sizes[_i].hosts + sizes[_i].joining;

	start_nodes(n);
	load = HOT;
	run_for(6000);
	for (uint32_t i = 0; i < n; i++)
		stop_node(i);
	now_us += S;
	for (uint32_t i = 0; i < n; i++)
		start_node(i, false);
	run_for(6000);
	check_shares_are_whole(n);
	check_upper_bound();
}
END_TEST

/*
 * Hosts that have started anew and cannot read the list of hosts hold no shares, and answer
 * so: the others have the whole quota meanwhile.
 */
START_TEST(hosts_without_a_list_hold_no_shares)
{
	uint32_t n = sizes[_i].hosts + sizes[_i].joining;
	bool none[MAX_NODES] = { false };

	start_nodes(n);
	run_for(3000);
	for (uint32_t i = 0; i < n / 2; i++) {
		stop_node(i);
		start_node(i, false);
		qt_free(&nodes[i].quotas);
		memcpy(nodes[i].lists, none, sizeof(none));
		qt_init(&nodes[i].quotas,
			&(struct qt_driver){ random_u32, NULL, NULL },
			hashes[i], SLACK);
		qt_join(&nodes[i].quotas, QT_JOIN_AGAIN, now_us);
		nodes[i].serves_none = true;
	}
	load = HOT;
	run_for(3000);
	load = USUAL;
	run_for(3000);
	forget_refusals();
	run_for(5000);
	check_nothing_is_lost();
	check_upper_bound();
}
END_TEST

/* Debts that are handed over from host to host must not grow on the way. */
START_TEST(usual_load_loses_nothing_after_all_start_again)
{
	uint32_t n = sizes[_i].hosts + sizes[_i].joining;

	start_nodes(n);
	run_for(6000);
	for (uint32_t i = 0; i < n; i++)
		stop_node(i);
	now_us += S;
	for (uint32_t i = 0; i < n; i++) {
		start_node(i, false);
		run_for(20);
	}
	run_for(2000);
	forget_refusals();
	run_for(10000);
	check_nothing_is_lost();
}
END_TEST

/*
 * A host that is cut off keeps its share, and the others do not use it: also a new one
 * takes none until the host has been silent for longer than a quota's window.
 */
START_TEST(host_is_cut_off_while_another_joins)
{
	uint32_t n = sizes[_i].hosts;

	start_nodes(n);
	run_for(5000);
	nodes[0].cut = n > 1;
	load = HOT;
	start_joining(n, 1);
	run_for(9000);
	check_upper_bound();
	nodes[0].cut = false;
	run_for(9000);
	check_upper_bound();
	check_shares_are_whole(n + 1);
}
END_TEST

/* All hosts join at that moment, and nobody has a share yet. */
START_TEST(first_quotas_find_hosts_with_shares)
{
	quotas_later = true;
	start_nodes(3);
	start_joining(3, 2);
	run_for(15000);
	forget_refusals();
	for (uint32_t i = 0; i < 5; i++)
		set_customers(&nodes[i]);
	run_for(5000);
	check_shares_are_whole(5);
	check_nothing_is_lost();
	load = HOT;
	run_for(10000);
	check_upper_bound();
}
END_TEST

/* A customer that starts to be limited anew would get the burst once more. */
START_TEST(short_pause_changes_nothing)
{
	start_nodes(3);
	run_for(3000);
	nodes[0].sleeps_until_us = now_us + S;
	run_for(1500);
	ck_assert_uint_eq(nodes[0].quotas.join_count, 0);
	ck_assert(!nodes[0].quotas.joining);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("quota_hosts");
	const int count = G_N_ELEMENTS(sizes);

	tcase_set_timeout(tests, 120);
	tcase_add_checked_fixture(tests, setup, NULL);
	tcase_add_loop_test(tests, hosts_join_before_the_load, 0, count);
	tcase_add_loop_test(tests, hosts_join_amid_the_load, 0, count);
	tcase_add_loop_test(tests, joining_hosts_learn_of_each_other, 0, count);
	tcase_add_loop_test(tests, usual_load_loses_nothing_as_hosts_join, 0,
			    count);
	tcase_add_loop_test(tests, host_sleeps_while_others_join, 0, 3 * count);
	tcase_add_loop_test(tests, hosts_leave_and_come_back, 0, count);
	tcase_add_loop_test(
		tests, usual_load_loses_nothing_once_hosts_have_left, 0, count);
	tcase_add_loop_test(tests, all_hosts_start_again, 0, count);
	tcase_add_loop_test(tests,
			    usual_load_loses_nothing_after_all_start_again, 0,
			    count);
	tcase_add_loop_test(tests, hosts_without_a_list_hold_no_shares, 0,
			    count);
	tcase_add_loop_test(tests, host_is_cut_off_while_another_joins, 0,
			    count);
	tcase_add_test(tests, first_quotas_find_hosts_with_shares);
	tcase_add_test(tests, short_pause_changes_nothing);
	return suite_run_case("quota_hosts", tests, CK_FORK);
}
