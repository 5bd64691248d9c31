/*
 * Tests of the order of manifests (platform/manifest_order.h) in all orders of events: the
 * operator writes, the store is copied and comes back from the copy, once or more, hosts
 * start, end, read the store and ask each other. Guards against a host that goes back to an
 * earlier manifest, and one that starts and keeps an earlier one than its neighbour.
 */
#include <string.h>

#include "platform/manifest_order.h"
#include "tests/suite.h"

enum { HOSTS = 2, DEPTH = 7, FIRST_VERSION = 10 };

/* Of the operator and the store, then one of each for every host. */
enum event {
	WRITE,
	OTHER_WRITE,
	COPY,
	RESTORE,
	WRITE_AGAIN,
	START,
	KILL,
	READ
};
enum { EVENTS = START + 3 * HOSTS };

static const char event_names[] = "WOCXGSKR";

struct store {
	struct ps_position position;
	struct mo_manifest row;
};

struct host {
	bool runs;
	uint64_t era; /* of the last answer that it has read */
	uint64_t first_version; /* of the first answer of that era */
	bool knows_restore; /* it has seen that era begin */
	struct mo_manifest in_force;
	uint32_t replaced; /* bits of numbers */
};

struct world {
	struct store store;
	struct store copy;
	bool copied;
	uint64_t newest; /* number that the operator has written */
	struct host hosts[HOSTS];
};

static char path[DEPTH * 2 + 1];
static bool rewrite_over;

static void write_manifest(struct world *world, uint64_t number)
{
	world->store.position.version++;
	world->store.row.number = number;
	world->store.row.position = world->store.position;
}

static void restore(struct world *world)
{
	uint64_t era = world->store.position.era + 1;

	world->store = world->copy;
	world->store.position.era = era;
	world->store.row.position.era = era;
}

static void put_in_force(struct host *host, const struct mo_manifest *manifest)
{
	bool first = !host->in_force.number;

	ck_assert_msg(first || manifest->number >= host->in_force.number,
		      "%s: a host goes from %u back to %u", path,
		      (unsigned)host->in_force.number,
		      (unsigned)manifest->number);
	host->replaced |= 1U << host->in_force.number;
	host->in_force = *manifest;
}

static void enter_era(struct host *host, const struct store *store)
{
	if (host->era == store->position.era)
		return;
	host->knows_restore = host->era != 0;
	host->era = store->position.era;
	host->first_version = store->position.version;
}

static void read_store(struct host *host, const struct store *store)
{
	struct mo_row_facts facts = { .rewrite_over = rewrite_over };
	struct mo_manifest row = store->row;

	enter_era(host, store);
	if (row.number == host->in_force.number) {
		if (ps_is_later(&row.position, &host->in_force.position))
			host->in_force.position = row.position;
		return;
	}
	facts.since_restore = !host->knows_restore ||
			      row.position.version > host->first_version;
	facts.was_replaced = host->replaced & 1U << row.number;
	if (mo_judge_row(host->in_force.number ? &host->in_force : NULL, &row,
			 &facts) == MO_TAKE)
		put_in_force(host, &row);
}

/* A host that has taken over a manifest that the store lacks knows of the restore. */
static void ask_others(struct world *world, struct host *host)
{
	for (int i = 0; i < HOSTS; i++) {
		struct host *other = &world->hosts[i];

		if (other == host || !other->runs || other->era != host->era ||
		    other->in_force.position.era == other->era ||
		    !mo_is_told_newer(&host->in_force, &other->in_force))
			continue;
		put_in_force(host, &other->in_force);
		host->knows_restore = true;
		host->first_version = world->store.position.version;
	}
}

static void read_and_ask(struct world *world, struct host *host)
{
	read_store(host, &world->store);
	ask_others(world, host);
}

/* Returns whether the event can come about. */
static bool play_host_event(struct world *world, enum event event,
			    struct host *host)
{
	if (host->runs == (event == START))
		return false;
	if (event == KILL) {
		memset(host, 0, sizeof(*host));
		return true;
	}
	host->runs = true;
	read_and_ask(world, host);
	return true;
}

static bool play_event(struct world *world, int event)
{
	if (event >= START)
		return play_host_event(world, START + (event - START) / HOSTS,
				       &world->hosts[(event - START) % HOSTS]);
	if (event == WRITE)
		write_manifest(world, ++world->newest);
	else if (event == OTHER_WRITE)
		world->store.position.version++;
	else if (event == COPY)
		world->copy = world->store;
	else if (event == RESTORE && world->copied)
		restore(world);
	else if (event == WRITE_AGAIN &&
		 world->store.row.number < world->newest)
		write_manifest(world, world->newest);
	else
		return false;
	world->copied |= event == COPY;
	return true;
}

/* Once all have read the store and asked, none has an earlier manifest than another. */
static void check_end(struct world world)
{
	for (int round = 0; round < 2; round++)
		for (int i = 0; i < HOSTS; i++)
			if (world.hosts[i].runs)
				read_and_ask(&world, &world.hosts[i]);
	for (int i = 1; i < HOSTS; i++)
		if (world.hosts[0].runs && world.hosts[i].runs)
			ck_assert_msg(world.hosts[0].in_force.number ==
					      world.hosts[i].in_force.number,
				      "%s: hosts have %u and %u", path,
				      (unsigned)world.hosts[0].in_force.number,
				      (unsigned)world.hosts[i].in_force.number);
}

static void play_all(const struct world *world, int depth)
{
	check_end(*world);
	if (depth == DEPTH)
		return;
	for (int event = 0; event < EVENTS; event++) {
		struct world next = *world;
		int kind =
			event < START ? event : START + (event - START) / HOSTS;

		path[2 * depth] = event_names[kind];
		path[2 * depth + 1] =
			event < START ? '.' :
					(char)('0' + (event - START) % HOSTS);
		path[2 * depth + 2] = '\0';
		if (play_event(&next, event))
			play_all(&next, depth + 1);
	}
}

START_TEST(no_order_of_events_brings_an_earlier_manifest_back)
{
	struct world world = { .store.position = { 1, FIRST_VERSION } };

	rewrite_over = _i;
	write_manifest(&world, ++world.newest);
	world.hosts[0].runs = true;
	read_store(&world.hosts[0], &world.store);
	play_all(&world, 0);
}
END_TEST

/* What no order of rising numbers brings about; see docs/design/restored-manifests.md. */
static const struct {
	uint64_t number;
	struct ps_position position;
	struct mo_row_facts facts;
	enum mo_verdict verdict;
} rows[] = {
	/* The store decides within an era, whatever the numbers are. */
	{ 3, { 2, 61 }, { false, false, false }, MO_TAKE },
	{ 12, { 2, 59 }, { false, false, false }, MO_IGNORE },
	/* The copy's, or written since where it was before */
	{ 5, { 3, 40 }, { false, false, false }, MO_IGNORE },
	{ 5, { 3, 40 }, { false, false, true }, MO_IGNORE },
	{ 10, { 3, 40 }, { false, false, false }, MO_TAKE },
	{ 10, { 3, 40 }, { false, true, true }, MO_IGNORE },
	/* Written since, by its position */
	{ 5, { 3, 60 }, { false, false, false }, MO_WAIT },
	{ 5, { 3, 60 }, { false, false, true }, MO_TAKE },
	{ 5, { 3, 40 }, { true, false, false }, MO_WAIT },
	{ 5, { 3, 40 }, { true, true, false }, MO_IGNORE },
	{ 5, { 3, 40 }, { true, true, true }, MO_TAKE },
	{ 10, { 3, 60 }, { false, false, false }, MO_TAKE },
};

START_TEST(rows_are_judged)
{
	const struct mo_manifest in_force = { 9, { 2, 60 } };
	const struct mo_manifest row = { rows[_i].number, rows[_i].position };

	ck_assert_int_eq(mo_judge_row(&in_force, &row, &rows[_i].facts),
			 rows[_i].verdict);
	ck_assert_int_eq(mo_judge_row(NULL, &row, &rows[_i].facts), MO_TAKE);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("manifest_order");

	tcase_add_loop_test(tests,
			    no_order_of_events_brings_an_earlier_manifest_back,
			    0, 2);
	tcase_add_loop_test(tests, rows_are_judged, 0,
			    sizeof(rows) / sizeof(rows[0]));
	return suite_run_case("manifest_order", tests, CK_FORK_GETENV);
}
