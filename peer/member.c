#include "peer/member.h"

#include <string.h>

enum {
	PR_SUSPICION_US = 2 * 1000 * 1000,
	PR_SUSPICION_PER_DOUBLING_US = 400 * 1000,
	/* Flap damping: a member that was dead and is alive again is listed
	 * after this time, doubled for each further flap. */
	PR_FLAP_HOLD_US = 1000 * 1000,
	PR_MAX_FLAPS = 6,
	PR_MIN_TRANSMITS = 3, /* plus one per doubling of the live members */
	PR_RANDOM_TRIES = 8,
	PR_US_PER_MS = 1000
};

/* Flaps are reset when the last return to alive is longer ago than this. */
static const uint64_t PR_FLAP_RESET_US = UINT64_C(600) * 1000 * 1000;
/*
 * Members that are not live are freed after this time. Regions can lose contact
 * with each other for an hour. The hosts of the other region must stay in the
 * table for longer than that, so that they are called when contact returns.
 */
static const uint64_t PR_RETENTION_US = UINT64_C(6) * 3600 * 1000 * 1000;

bool pr_member_is_live(const struct pr_member *member)
{
	return member->state == PR_ALIVE || member->state == PR_SUSPECT;
}

/* Doublings from 1 host to the current number, rounded down, plus 1. */
static uint32_t pr_size_doublings(const struct pr_table *table)
{
	return g_bit_storage(table->live_count + 1);
}

uint64_t pr_table_suspicion_timeout_us(const struct pr_table *table)
{
	return PR_SUSPICION_US + (uint64_t)pr_size_doublings(table) *
					 PR_SUSPICION_PER_DOUBLING_US;
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

static uint32_t pr_random_below(struct pr_table *table, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(table->random, 0, (gint32)limit);
}

struct pr_member *pr_table_add(struct pr_table *table, const char *name,
			       const char *zone,
			       const struct nt_address *address)
{
	GPtrArray *members = table->members;
	struct pr_member *member;
	uint32_t index;

	if (members->len == PR_MAX_MEMBERS)
		return NULL;
	member = g_new0(struct pr_member, 1);
	g_strlcpy(member->name, name, sizeof(member->name));
	g_strlcpy(member->zone, zone, sizeof(member->zone));
	member->address = *address;
	member->state = PR_DEAD;
	g_ptr_array_add(members, member);
	/* A random index, so that no two hosts call in the same order. */
	index = pr_random_below(table, members->len);
	members->pdata[members->len - 1] = members->pdata[index];
	members->pdata[index] = member;
	g_hash_table_insert(table->by_name, member->name, member);
	return member;
}

void pr_table_queue_update(struct pr_table *table, struct pr_member *member)
{
	member->transmits_left =
		(uint8_t)(PR_MIN_TRANSMITS + pr_size_doublings(table));
	table->hosts_changed = true;
}

/*
 * A member that joins needs fewer transmits than other updates, because hosts
 * with fewer members also receive pages of the table.
 */
static void pr_queue_join(struct pr_table *table, struct pr_member *member)
{
	member->transmits_left = PR_MIN_TRANSMITS;
	table->hosts_changed = true;
}

static void pr_set_state(struct pr_table *table, struct pr_member *member,
			 enum pr_state state)
{
	bool was_live = pr_member_is_live(member);

	member->state = state;
	if (pr_member_is_live(member) && !was_live)
		table->live_count++;
	else if (!pr_member_is_live(member) && was_live)
		table->live_count--;
	pr_table_queue_update(table, member);
}

void pr_table_set_incarnation(struct pr_table *table, struct pr_member *member,
			      uint64_t incarnation)
{
	member->incarnation = incarnation;
	member->last_seen_us = 0;
	member->suspected_since_us = 0;
	member->unanswered_since_us = 0;
	member->unanswered_calls = 0;
	member->draining = false;
	if (!pr_member_is_live(member))
		member->state = PR_DEAD;
	pr_table_queue_update(table, member);
}

static void pr_become_alive(struct pr_table *table, struct pr_member *member,
			    uint64_t now_us)
{
	bool joined = !member->alive_since_us;

	if (member->state == PR_DEAD) {
		if (now_us - member->alive_since_us > PR_FLAP_RESET_US)
			member->flaps = 0;
		member->relist_at_us = 0;
		if (member->flaps)
			member->relist_at_us =
				now_us + ((uint64_t)PR_FLAP_HOLD_US
					  << (member->flaps - 1));
		member->alive_since_us = now_us;
	}
	pr_set_state(table, member, PR_ALIVE);
	if (joined)
		pr_queue_join(table, member);
}

void pr_table_mark_alive(struct pr_table *table, struct pr_member *member,
			 uint64_t seen_us, uint64_t now_us)
{
	if (member->state == PR_LEFT)
		return;
	if (seen_us > member->last_seen_us)
		member->last_seen_us = seen_us;
	if (member->state == PR_ALIVE)
		return;
	if (seen_us > member->suspected_since_us + PR_SUSPICION_SLACK_US)
		pr_become_alive(table, member, now_us);
}

void pr_table_mark_suspect(struct pr_table *table, struct pr_member *member,
			   uint64_t since_us)
{
	if (!pr_member_is_live(member))
		return;
	if (member->last_seen_us > since_us + PR_SUSPICION_SLACK_US) {
		/* Refute the suspicion with the later last_seen_us. */
		pr_table_queue_update(table, member);
		return;
	}
	if (member->state == PR_SUSPECT) {
		member->suspected_since_us =
			MIN(member->suspected_since_us, since_us);
		return;
	}
	member->suspected_since_us = since_us;
	pr_set_state(table, member, PR_SUSPECT);
	if (table->new_suspect_count < PR_MAX_NEW_SUSPECTS)
		table->new_suspects[table->new_suspect_count++] = member;
}

void pr_table_mark_left(struct pr_table *table, struct pr_member *member)
{
	if (member->state != PR_LEFT)
		pr_set_state(table, member, PR_LEFT);
}

void pr_table_set_draining(struct pr_table *table, struct pr_member *member,
			   bool draining)
{
	if (member->draining == draining)
		return;
	member->draining = draining;
	pr_table_queue_update(table, member);
}

static uint64_t pr_time_from_age(uint64_t now_us, uint32_t age_ms)
{
	uint64_t age_us = (uint64_t)age_ms * PR_US_PER_MS;

	return age_us < now_us ? now_us - age_us : 1;
}

static struct pr_member *pr_add_from_row(struct pr_table *table,
					 const struct pr_msg_member *row)
{
	struct nt_address address;
	struct pr_member *member;

	if (row->state != PR_MSG_ALIVE || !pr_wire_name_is_valid(row->name) ||
	    !pr_wire_name_is_valid(row->zone) ||
	    !nt_parse(row->address, &address))
		return NULL;
	member = pr_table_add(table, row->name, row->zone, &address);
	if (member)
		pr_table_set_incarnation(table, member, row->incarnation);
	return member;
}

static void pr_merge_state(struct pr_table *table, struct pr_member *member,
			   const struct pr_msg_member *row, uint64_t now_us)
{
	uint64_t at_us = pr_time_from_age(now_us, row->age_ms);

	if (row->state == PR_MSG_LEFT)
		pr_table_mark_left(table, member);
	else if (row->state == PR_MSG_SUSPECT)
		pr_table_mark_suspect(table, member, at_us);
	else
		pr_table_mark_alive(table, member, at_us, now_us);
	/* Within an incarnation, draining is never reset. */
	if (row->draining)
		pr_table_set_draining(table, member, true);
}

void pr_table_merge_row(struct pr_table *table, const struct pr_msg_member *row,
			uint64_t now_us)
{
	struct pr_member *member = pr_table_find(table, row->name);
	struct nt_address address;

	if (!member)
		member = pr_add_from_row(table, row);
	if (!member || row->incarnation < member->incarnation)
		return;
	if (row->incarnation > member->incarnation) {
		if (row->state != PR_MSG_ALIVE ||
		    !nt_parse(row->address, &address))
			return;
		member->address = address;
		pr_table_set_incarnation(table, member, row->incarnation);
	}
	pr_merge_state(table, member, row, now_us);
}

static uint32_t pr_age_ms(uint64_t now_us, uint64_t at_us)
{
	uint64_t age_ms = now_us > at_us ? (now_us - at_us) / PR_US_PER_MS : 0;

	return (uint32_t)MIN(age_ms, UINT32_MAX);
}

static void pr_fill_row(const struct pr_member *member, uint64_t now_us,
			struct pr_msg_member *row)
{
	static const enum pr_msg_state states[] = {
		[PR_ALIVE] = PR_MSG_ALIVE,
		[PR_SUSPECT] = PR_MSG_SUSPECT,
		[PR_DEAD] = PR_MSG_SUSPECT, /* receivers apply the timeout */
		[PR_LEFT] = PR_MSG_LEFT,
	};

	row->name = (char *)member->name;
	row->zone = (char *)member->zone;
	row->address = (char *)member->address.text;
	row->incarnation = member->incarnation;
	row->state = states[member->state];
	row->draining = member->draining;
	row->age_ms = pr_age_ms(now_us, row->state == PR_MSG_SUSPECT ?
						member->suspected_since_us :
						member->last_seen_us);
}

/*
 * Fills rows with queued updates. Each call continues in the table where the
 * previous one ended, so that every update is sent.
 */
static uint32_t pr_fill_updates(struct pr_table *table,
				const struct pr_member *recipient,
				uint64_t now_us, struct pr_msg_member *rows,
				uint32_t max)
{
	guint count = table->members->len;
	uint32_t filled = 0;

	for (guint i = 0; i < count && filled < max; i++) {
		struct pr_member *member =
			table->members->pdata[table->sample_cursor++ % count];

		if (!member->transmits_left || member == recipient)
			continue;
		member->transmits_left--;
		pr_fill_row(member, now_us, &rows[filled++]);
	}
	return filled;
}

uint32_t pr_table_fill_sample(struct pr_table *table,
			      const struct pr_member *recipient,
			      uint64_t now_us, struct pr_msg_member *rows,
			      uint32_t max)
{
	uint32_t filled = 0;

	if (recipient && recipient->state != PR_ALIVE && recipient->incarnation)
		pr_fill_row(recipient, now_us, &rows[filled++]);
	filled += pr_fill_updates(table, recipient, now_us, rows + filled,
				  max - filled);
	for (uint32_t i = 0;
	     i < PR_IDLE_SAMPLE_ROWS && filled < MIN(max, PR_IDLE_SAMPLE_ROWS);
	     i++) {
		struct pr_member *member = pr_table_pick_random(table, true);

		if (member && member != recipient)
			pr_fill_row(member, now_us, &rows[filled++]);
	}
	return filled;
}

uint32_t pr_table_fill_page(struct pr_table *table, uint64_t now_us,
			    struct pr_msg_member *rows, uint32_t max)
{
	guint count = table->members->len;
	uint32_t filled = 0;

	for (guint i = 0; i < count && filled < max; i++) {
		const struct pr_member *member =
			table->members->pdata[table->page_cursor++ % count];

		if (pr_member_is_live(member))
			pr_fill_row(member, now_us, &rows[filled++]);
	}
	return filled;
}

struct pr_member *pr_table_next_live(struct pr_table *table)
{
	guint count = table->members->len;

	for (guint i = 0; i < count; i++) {
		struct pr_member *member =
			table->members->pdata[table->call_cursor++ % count];

		if (pr_member_is_live(member))
			return member;
	}
	return NULL;
}

struct pr_member *pr_table_pick_random(struct pr_table *table, bool live)
{
	guint count = table->members->len;
	guint index = 0;

	if (live ? !table->live_count : table->live_count == count)
		return NULL;
	for (guint i = 0; i < PR_RANDOM_TRIES + count; i++) {
		struct pr_member *member;

		/* When random tries fail because few members qualify, take the
		 * next one that does. */
		if (i < PR_RANDOM_TRIES)
			index = pr_random_below(table, count);
		else
			index = (index + 1) % count;
		member = table->members->pdata[index];
		if (pr_member_is_live(member) == live)
			return member;
	}
	return NULL;
}

static void pr_expire_suspect(struct pr_table *table, struct pr_member *member,
			      uint64_t now_us)
{
	if (member->state != PR_SUSPECT ||
	    now_us < member->suspected_since_us +
			     pr_table_suspicion_timeout_us(table))
		return;
	if (member->flaps < PR_MAX_FLAPS)
		member->flaps++;
	pr_set_state(table, member, PR_DEAD);
}

/* Updates not_live_since_us. Returns whether MEMBER can be freed. */
static bool pr_retention_ended(struct pr_member *member, uint64_t now_us)
{
	if (pr_member_is_live(member)) {
		member->not_live_since_us = 0;
		return false;
	}
	if (!member->not_live_since_us)
		member->not_live_since_us = now_us;
	return now_us - member->not_live_since_us > PR_RETENTION_US;
}

void pr_table_expire(struct pr_table *table, uint64_t now_us)
{
	for (guint i = 0; i < table->members->len;) {
		struct pr_member *member = table->members->pdata[i];

		if (member->relist_at_us && member->state == PR_ALIVE &&
		    member->relist_at_us <= now_us) {
			member->relist_at_us = 0;
			table->hosts_changed = true;
		}
		pr_expire_suspect(table, member, now_us);
		if (pr_retention_ended(member, now_us)) {
			g_hash_table_remove(table->by_name, member->name);
			g_ptr_array_remove_index_fast(table->members, i);
			continue;
		}
		i++;
	}
}

void pr_table_skip_pause(struct pr_table *table, uint64_t pause_us)
{
	for (guint i = 0; i < table->members->len; i++) {
		struct pr_member *member = table->members->pdata[i];

		member->unanswered_since_us = 0;
		member->unanswered_calls = 0;
		if (member->state == PR_SUSPECT)
			member->suspected_since_us += pause_us;
	}
}

void pr_table_append_hosts(const struct pr_table *table, GArray *rows)
{
	for (guint i = 0; i < table->members->len; i++) {
		const struct pr_member *member = table->members->pdata[i];
		struct pr_host row = { 0 };

		if (!pr_member_is_live(member) || member->relist_at_us)
			continue;
		row.name = tx_new(member->name);
		row.zone = tx_new(member->zone);
		row.incarnation = member->incarnation;
		row.draining = member->draining || member->platform_draining;
		g_array_append_val(rows, row);
	}
}
