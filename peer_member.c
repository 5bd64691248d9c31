#include "peer_member.h"

#include <string.h>

enum {
	PR_REMOVAL_US = 2 * 1000 * 1000,
	PR_REMOVAL_PER_DOUBLING_US = 400 * 1000,
	/* A member that was removed and came back is listed after this long,
	 * twice as long for every time that it was removed. */
	PR_HOLD_US = 1000 * 1000,
	PR_MAX_FLAPS = 6,
	PR_SPREAD = 3, /* plus one for every doubling of the members */
	PR_RANDOM_TRIES = 8,
	PR_US_PER_MS = 1000
};

static const uint64_t PR_FLAPS_FORGOTTEN_US = UINT64_C(600) * 1000 * 1000;
/* Regions lose each other for an hour; their hosts are called until then. */
static const uint64_t PR_FORGOTTEN_US = UINT64_C(6) * 3600 * 1000 * 1000;

bool pr_is_live(const struct pr_member *member)
{
	return member->state == PR_ALIVE || member->state == PR_SUSPECT;
}

static uint32_t pr_doublings(const struct pr_table *table)
{
	return g_bit_storage(table->live + 1);
}

uint64_t pr_table_removal_us(const struct pr_table *table)
{
	return PR_REMOVAL_US +
	       (uint64_t)pr_doublings(table) * PR_REMOVAL_PER_DOUBLING_US;
}

void pr_table_init(struct pr_table *table, const char *self, GRand *random)
{
	memset(table, 0, sizeof(*table));
	g_strlcpy(table->self, self, sizeof(table->self));
	table->random = random;
	table->members = g_ptr_array_new_with_free_func(g_free);
	table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
}

void pr_table_free(struct pr_table *table)
{
	g_hash_table_destroy(table->by_name);
	g_ptr_array_free(table->members, TRUE);
}

struct pr_member *pr_table_find(struct pr_table *table, const char *name)
{
	return g_hash_table_lookup(table->by_name, name);
}

static uint32_t pr_below(struct pr_table *table, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(table->random, 0, (gint32)limit);
}

struct pr_member *pr_table_add(struct pr_table *table, const char *name,
			       const char *zone,
			       const struct nt_address *address)
{
	GPtrArray *members = table->members;
	struct pr_member *member;
	uint32_t place;

	if (members->len == PR_MAX_MEMBERS)
		return NULL;
	member = g_new0(struct pr_member, 1);
	g_strlcpy(member->name, name, sizeof(member->name));
	g_strlcpy(member->zone, zone, sizeof(member->zone));
	member->address = *address;
	member->state = PR_GONE;
	g_ptr_array_add(members, member);
	/* A random place, so that no two hosts call in the same order. */
	place = pr_below(table, members->len);
	members->pdata[members->len - 1] = members->pdata[place];
	members->pdata[place] = member;
	g_hash_table_insert(table->by_name, member->name, member);
	return member;
}

void pr_table_changed(struct pr_table *table, struct pr_member *member)
{
	member->spread = (uint8_t)(PR_SPREAD + pr_doublings(table));
	table->changed = true;
}

/* Hosts that know fewer members get pages as well, so less is enough. */
static void pr_joined(struct pr_table *table, struct pr_member *member)
{
	member->spread = PR_SPREAD;
	table->changed = true;
}

static void pr_set_state(struct pr_table *table, struct pr_member *member,
			 enum pr_state state)
{
	bool was_live = pr_is_live(member);

	member->state = state;
	if (pr_is_live(member) && !was_live)
		table->live++;
	else if (!pr_is_live(member) && was_live)
		table->live--;
	pr_table_changed(table, member);
}

void pr_table_restart(struct pr_table *table, struct pr_member *member,
		      uint64_t incarnation)
{
	member->incarnation = incarnation;
	member->heard_us = 0;
	member->suspect_us = 0;
	member->called_us = 0;
	member->calls = 0;
	member->draining = false;
	if (!pr_is_live(member))
		member->state = PR_GONE;
	pr_table_changed(table, member);
}

static void pr_come_back(struct pr_table *table, struct pr_member *member,
			 uint64_t now_us)
{
	bool first = !member->alive_since_us;

	if (member->state == PR_GONE) {
		if (now_us - member->alive_since_us > PR_FLAPS_FORGOTTEN_US)
			member->flaps = 0;
		member->list_from_us = 0;
		if (member->flaps)
			member->list_from_us =
				now_us +
				((uint64_t)PR_HOLD_US << (member->flaps - 1));
		member->alive_since_us = now_us;
	}
	pr_set_state(table, member, PR_ALIVE);
	if (first)
		pr_joined(table, member);
}

void pr_table_alive(struct pr_table *table, struct pr_member *member,
		    uint64_t heard_us, uint64_t now_us)
{
	if (member->state == PR_LEFT)
		return;
	if (heard_us > member->heard_us)
		member->heard_us = heard_us;
	if (member->state == PR_ALIVE)
		return;
	if (heard_us > member->suspect_us + PR_SIGN_SLACK_US)
		pr_come_back(table, member, now_us);
}

void pr_table_suspect(struct pr_table *table, struct pr_member *member,
		      uint64_t suspect_us)
{
	if (!pr_is_live(member))
		return;
	if (member->heard_us > suspect_us + PR_SIGN_SLACK_US) {
		/* The others should hear of the newer sign of life. */
		pr_table_changed(table, member);
		return;
	}
	if (member->state == PR_SUSPECT) {
		member->suspect_us = MIN(member->suspect_us, suspect_us);
		return;
	}
	member->suspect_us = suspect_us;
	pr_set_state(table, member, PR_SUSPECT);
	if (table->suspect_count < PR_MAX_NEW_SUSPECTS)
		table->suspects[table->suspect_count++] = member;
}

void pr_table_left(struct pr_table *table, struct pr_member *member)
{
	if (member->state != PR_LEFT)
		pr_set_state(table, member, PR_LEFT);
}

void pr_table_draining(struct pr_table *table, struct pr_member *member,
		       bool draining)
{
	if (member->draining == draining)
		return;
	member->draining = draining;
	pr_table_changed(table, member);
}

static uint64_t pr_time_of(uint64_t now_us, uint32_t age_ms)
{
	uint64_t age_us = (uint64_t)age_ms * PR_US_PER_MS;

	return age_us < now_us ? now_us - age_us : 1;
}

static struct pr_member *pr_take_new(struct pr_table *table,
				     const struct pr_msg_member *said)
{
	struct nt_address address;
	struct pr_member *member;

	if (said->state != PR_MSG_ALIVE || !pr_wire_name(said->name) ||
	    !pr_wire_name(said->zone) || !nt_parse(said->address, &address))
		return NULL;
	member = pr_table_add(table, said->name, said->zone, &address);
	if (member)
		pr_table_restart(table, member, said->incarnation);
	return member;
}

static void pr_take_state(struct pr_table *table, struct pr_member *member,
			  const struct pr_msg_member *said, uint64_t now_us)
{
	uint64_t at_us = pr_time_of(now_us, said->age_ms);

	if (said->state == PR_MSG_LEFT)
		pr_table_left(table, member);
	else if (said->state == PR_MSG_SUSPECT)
		pr_table_suspect(table, member, at_us);
	else
		pr_table_alive(table, member, at_us, now_us);
	/* Draining is not taken back under one incarnation. */
	if (said->draining)
		pr_table_draining(table, member, true);
}

void pr_table_take(struct pr_table *table, const struct pr_msg_member *said,
		   uint64_t now_us)
{
	struct pr_member *member = pr_table_find(table, said->name);
	struct nt_address address;

	if (!member)
		member = pr_take_new(table, said);
	if (!member || said->incarnation < member->incarnation)
		return;
	if (said->incarnation > member->incarnation) {
		if (said->state != PR_MSG_ALIVE ||
		    !nt_parse(said->address, &address))
			return;
		member->address = address;
		pr_table_restart(table, member, said->incarnation);
	}
	pr_take_state(table, member, said, now_us);
}

static uint32_t pr_age_ms(uint64_t now_us, uint64_t at_us)
{
	uint64_t age_ms = now_us > at_us ? (now_us - at_us) / PR_US_PER_MS : 0;

	return (uint32_t)MIN(age_ms, UINT32_MAX);
}

static void pr_describe(const struct pr_member *member, uint64_t now_us,
			struct pr_msg_member *row)
{
	static const enum pr_msg_state states[] = {
		[PR_ALIVE] = PR_MSG_ALIVE,
		[PR_SUSPECT] = PR_MSG_SUSPECT,
		[PR_GONE] = PR_MSG_SUSPECT,
		[PR_LEFT] = PR_MSG_LEFT,
	};

	row->name = (char *)member->name;
	row->zone = (char *)member->zone;
	row->address = (char *)member->address.text;
	row->incarnation = member->incarnation;
	row->state = states[member->state];
	row->draining = member->draining;
	row->age_ms = pr_age_ms(now_us, row->state == PR_MSG_SUSPECT ?
						member->suspect_us :
						member->heard_us);
}

/* Changes, from where the last sample ended, so that all get their turn. */
static uint32_t pr_sample_changes(struct pr_table *table,
				  const struct pr_member *recipient,
				  uint64_t now_us, struct pr_msg_member *rows,
				  uint32_t max)
{
	guint count = table->members->len;
	uint32_t filled = 0;

	for (guint i = 0; i < count && filled < max; i++) {
		struct pr_member *member =
			table->members->pdata[table->sample_cursor++ % count];

		if (!member->spread || member == recipient)
			continue;
		member->spread--;
		pr_describe(member, now_us, &rows[filled++]);
	}
	return filled;
}

uint32_t pr_table_sample(struct pr_table *table,
			 const struct pr_member *recipient, uint64_t now_us,
			 struct pr_msg_member *rows, uint32_t max)
{
	uint32_t filled = 0;

	if (recipient && recipient->state != PR_ALIVE && recipient->incarnation)
		pr_describe(recipient, now_us, &rows[filled++]);
	filled += pr_sample_changes(table, recipient, now_us, rows + filled,
				    max - filled);
	for (uint32_t i = 0; i < PR_SAMPLE && filled < MIN(max, PR_SAMPLE);
	     i++) {
		struct pr_member *member = pr_table_random(table, true);

		if (member && member != recipient)
			pr_describe(member, now_us, &rows[filled++]);
	}
	return filled;
}

uint32_t pr_table_page(struct pr_table *table, uint64_t now_us,
		       struct pr_msg_member *rows, uint32_t max)
{
	guint count = table->members->len;
	uint32_t filled = 0;

	for (guint i = 0; i < count && filled < max; i++) {
		const struct pr_member *member =
			table->members->pdata[table->page_cursor++ % count];

		if (pr_is_live(member))
			pr_describe(member, now_us, &rows[filled++]);
	}
	return filled;
}

struct pr_member *pr_table_next(struct pr_table *table)
{
	guint count = table->members->len;

	for (guint i = 0; i < count; i++) {
		struct pr_member *member =
			table->members->pdata[table->call_cursor++ % count];

		if (pr_is_live(member))
			return member;
	}
	return NULL;
}

struct pr_member *pr_table_random(struct pr_table *table, bool live)
{
	guint count = table->members->len;
	guint place = 0;

	if (live ? !table->live : table->live == count)
		return NULL;
	for (guint i = 0; i < PR_RANDOM_TRIES + count; i++) {
		struct pr_member *member;

		/* Where few qualify, the next one after a random place. */
		if (i < PR_RANDOM_TRIES)
			place = pr_below(table, count);
		else
			place = (place + 1) % count;
		member = table->members->pdata[place];
		if (pr_is_live(member) == live)
			return member;
	}
	return NULL;
}

static void pr_remove_silent(struct pr_table *table, struct pr_member *member,
			     uint64_t now_us)
{
	if (member->state != PR_SUSPECT ||
	    now_us < member->suspect_us + pr_table_removal_us(table))
		return;
	if (member->flaps < PR_MAX_FLAPS)
		member->flaps++;
	pr_set_state(table, member, PR_GONE);
}

static bool pr_is_forgotten(struct pr_member *member, uint64_t now_us)
{
	if (pr_is_live(member)) {
		member->ended_us = 0;
		return false;
	}
	if (!member->ended_us)
		member->ended_us = now_us;
	return now_us - member->ended_us > PR_FORGOTTEN_US;
}

void pr_table_expire(struct pr_table *table, uint64_t now_us)
{
	for (guint i = 0; i < table->members->len;) {
		struct pr_member *member = table->members->pdata[i];

		if (member->list_from_us && member->state == PR_ALIVE &&
		    member->list_from_us <= now_us) {
			member->list_from_us = 0;
			table->changed = true;
		}
		pr_remove_silent(table, member, now_us);
		if (pr_is_forgotten(member, now_us)) {
			g_hash_table_remove(table->by_name, member->name);
			g_ptr_array_remove_index_fast(table->members, i);
			continue;
		}
		i++;
	}
}

void pr_table_skip(struct pr_table *table, uint64_t gap_us)
{
	for (guint i = 0; i < table->members->len; i++) {
		struct pr_member *member = table->members->pdata[i];

		member->called_us = 0;
		member->calls = 0;
		if (member->state == PR_SUSPECT)
			member->suspect_us += gap_us;
	}
}

void pr_table_list(const struct pr_table *table, GArray *rows)
{
	for (guint i = 0; i < table->members->len; i++) {
		const struct pr_member *member = table->members->pdata[i];
		struct pr_host row = { 0 };

		if (!pr_is_live(member) || member->list_from_us)
			continue;
		memcpy(row.name, member->name, sizeof(row.name));
		memcpy(row.zone, member->zone, sizeof(row.zone));
		row.incarnation = member->incarnation;
		row.draining = member->draining || member->platform_draining;
		g_array_append_val(rows, row);
	}
}
