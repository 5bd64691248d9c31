#include "peer_gossip.h"

#include <string.h>

#include "counter.h"
#include "log.h"
#include "mechanism.h"

enum { PR_CONTACT_TRIES = 4, PR_LEAVING_SPREAD = 16, PR_US_PER_MS = 1000 };

/*
 * A server that left does not say so again, and its name may return with a new
 * server. After this long without a sign it is tried again.
 */
static const uint64_t PR_LEAVING_US = UINT64_C(600) * 1000 * 1000;

void pr_gossip_init(struct pr_gossip *gossip, const struct pr_gossip_conf *conf)
{
	memset(gossip, 0, sizeof(*gossip));
	gossip->conf = *conf;
	gossip->random = g_rand_new_with_seed(conf->random_seed);
	gossip->xid = g_rand_int(gossip->random);
	gossip->contacts = g_array_new(FALSE, FALSE, sizeof(struct nt_address));
	gossip->hosts = g_array_new(FALSE, FALSE, sizeof(struct pr_host));
	pr_table_init(&gossip->table, conf->host, gossip->random);
	gossip->table.changed = true;
	gossip->pages_left = PR_PAGES_PER_ROUND;
}

void pr_gossip_free(struct pr_gossip *gossip)
{
	pr_table_free(&gossip->table);
	g_array_free(gossip->contacts, TRUE);
	g_array_free(gossip->hosts, TRUE);
	g_rand_free(gossip->random);
}

/* Sending */

void pr_gossip_origin(struct pr_gossip *gossip,
		      const struct nt_address *address,
		      const struct pr_member *member,
		      struct pr_msg_origin *origin)
{
	origin->host = (char *)gossip->conf.host;
	origin->incarnation = gossip->conf.incarnation;
	origin->sequence = ++gossip->sequence;
	origin->to_address = (char *)address->text;
	/* A member that does not answer may have restarted. */
	if (member && member->state == PR_ALIVE)
		origin->to_incarnation = member->incarnation;
}

static uint32_t pr_age_ms(uint64_t now_us, uint64_t at_us)
{
	uint64_t age_ms = now_us > at_us ? (now_us - at_us) / PR_US_PER_MS : 0;

	return (uint32_t)MIN(age_ms, UINT32_MAX - 1);
}

/* Rows of leaving servers: the new ones in the first pass, then the others. */
static uint32_t pr_fill_leaving(struct pr_gossip *gossip, uint64_t now_us,
				struct pr_msg_leaving *rows)
{
	uint32_t count = gossip->leaving_count;
	uint32_t filled = 0;

	if (!count)
		return 0;
	for (uint32_t i = 0; i < 2 * count && filled < PR_WIRE_MAX_LEAVING;
	     i++) {
		struct pr_leaving *row =
			&gossip->leaving[gossip->leaving_cursor++ % count];
		bool fresh = row->spread > 0;

		if (fresh != (i < count))
			continue;
		row->spread -= fresh;
		rows[filled].server = row->name;
		rows[filled++].age_ms = pr_age_ms(now_us, row->seen_us);
	}
	return filled;
}

static void pr_send(struct pr_gossip *gossip, const struct nt_address *to,
		    struct pr_msg *msg)
{
	struct pr_msg_heartbeat *beat = &msg->u.heartbeat;
	char data[PR_MAX_DATAGRAM_BYTES];
	size_t bytes;

	/* Long names: as many rows as fit. */
	while (!(bytes = pr_wire_encode(gossip->conf.key, msg, data,
					sizeof(data))) &&
	       beat->sample.sample_len)
		beat->sample.sample_len--;
	if (!bytes)
		return;
	ct_add(CT_PEER_SENT, 1);
	ct_add(CT_PEER_SENT_BYTES, bytes);
	gossip->conf.driver.send(gossip->conf.driver.ctx, to, data, bytes);
}

/* A heartbeat with the memory of its rows. */
struct pr_beat {
	struct pr_msg msg;
	struct pr_msg_member sample[PR_WIRE_MAX_SAMPLE];
	struct pr_msg_leaving leaving[PR_WIRE_MAX_LEAVING];
};

/* Fills all but the sample. MEMBER and CALL may be NULL. */
static struct pr_msg_heartbeat *
pr_begin(struct pr_gossip *gossip, uint64_t now_us,
	 const struct nt_address *to_address, const struct pr_member *member,
	 const struct pr_msg *call, struct pr_beat *rows)
{
	struct pr_msg_heartbeat *beat = &rows->msg.u.heartbeat;

	memset(&rows->msg, 0, sizeof(rows->msg));
	rows->msg.procedure = PR_HEARTBEAT;
	rows->msg.reply = !!call;
	rows->msg.xid = call ? call->xid : ++gossip->xid;
	pr_gossip_origin(gossip, to_address, member, &rows->msg.origin);
	beat->zone = (char *)gossip->conf.zone;
	beat->address = gossip->conf.address.text;
	beat->state = gossip->left ? PR_MSG_LEFT : PR_MSG_ALIVE;
	beat->draining = gossip->draining;
	beat->generation = gossip->generation;
	memcpy(beat->digest, gossip->digest, sizeof(beat->digest));
	beat->confirmed_age_ms = UINT32_MAX;
	if (gossip->confirmed_us)
		beat->confirmed_age_ms =
			pr_age_ms(now_us, gossip->confirmed_us);
	beat->members = gossip->table.live;
	beat->sample.sample_val = rows->sample;
	beat->leaving.leaving_val = rows->leaving;
	beat->leaving.leaving_len =
		pr_fill_leaving(gossip, now_us, rows->leaving);
	return beat;
}

/* TO_ADDRESS is how the receiver calls itself. */
static void pr_beat(struct pr_gossip *gossip, uint64_t now_us,
		    const struct nt_address *to,
		    const struct nt_address *to_address,
		    const struct pr_member *member, const struct pr_msg *call)
{
	struct pr_beat rows;
	struct pr_msg_heartbeat *beat =
		pr_begin(gossip, now_us, to_address, member, call, &rows);

	beat->sample.sample_len =
		pr_table_sample(&gossip->table, member, now_us, rows.sample,
				PR_WIRE_MAX_SAMPLE);
	pr_send(gossip, to, &rows.msg);
}

/* Pages of the member table for a host that joined or lost contact. */
static void pr_catch_up(struct pr_gossip *gossip, uint64_t now_us,
			const struct nt_address *to,
			const struct pr_member *member,
			const struct pr_msg *call)
{
	uint32_t theirs = call->u.heartbeat.members;
	uint32_t ours = gossip->table.live;
	struct pr_beat rows;
	struct pr_msg_heartbeat *beat;

	if (theirs >= ours)
		return;
	for (int i = 0; i < PR_PAGES_PER_CALL && gossip->pages_left; i++) {
		gossip->pages_left--;
		beat = pr_begin(gossip, now_us, &member->address, member, call,
				&rows);
		beat->sample.sample_len =
			pr_table_page(&gossip->table, now_us, rows.sample,
				      PR_WIRE_MAX_SAMPLE);
		pr_send(gossip, to, &rows.msg);
	}
}

static void pr_call(struct pr_gossip *gossip, struct pr_member *member,
		    uint64_t now_us)
{
	pr_beat(gossip, now_us, &member->address, &member->address, member,
		NULL);
}

static void pr_push(struct pr_gossip *gossip, uint64_t now_us)
{
	gossip->push_wanted = true;
	if (now_us < gossip->last_push_us + PR_PUSH_GAP_US)
		return;
	gossip->push_wanted = false;
	gossip->last_push_us = now_us;
	for (int i = 0; i < PR_PUSH; i++) {
		struct pr_member *member =
			pr_table_random(&gossip->table, true);

		if (member)
			pr_call(gossip, member, now_us);
	}
}

/* Calls a live member and expects a reply. */
static void pr_call_checked(struct pr_gossip *gossip, struct pr_member *member,
			    uint64_t now_us)
{
	if (member->called_us || gossip->called_count == PR_MAX_CALLED)
		return;
	member->called_us = now_us;
	member->calls = 1;
	gossip->called[gossip->called_count++] = member;
	pr_call(gossip, member, now_us);
}

/* Returns whether a reply is still expected. */
static bool pr_check_call(struct pr_gossip *gossip, struct pr_member *member,
			  uint64_t now_us)
{
	uint64_t called_us = member->called_us;

	if (!called_us || !pr_is_live(member))
		return false;
	if (now_us < called_us + (uint64_t)member->calls * PR_REPLY_US)
		return true;
	if (member->calls < PR_CALLS) {
		member->calls++;
		pr_call(gossip, member, now_us);
		return true;
	}
	member->called_us = 0;
	pr_table_suspect(&gossip->table, member, called_us);
	pr_push(gossip, now_us);
	return false;
}

static void pr_check_calls(struct pr_gossip *gossip, uint64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < gossip->called_count; i++) {
		struct pr_member *member = gossip->called[i];

		if (pr_check_call(gossip, member, now_us))
			gossip->called[kept++] = member;
		else
			member->called_us = 0;
	}
	gossip->called_count = kept;
	gossip->table.suspect_count = 0; /* this host has called them */
}

/*
 * A host that another one suspects is called by some hosts, and learns of the
 * suspicion by that, so that a bad path between two hosts removes nobody.
 */
static void pr_confirm_suspects(struct pr_gossip *gossip, uint64_t now_us)
{
	struct pr_table *table = &gossip->table;
	gint32 live = (gint32)MAX(table->live, 1);

	for (uint32_t i = 0; i < table->suspect_count; i++)
		if (g_rand_int_range(gossip->random, 0, live) < PR_CONFIRMERS)
			pr_call(gossip, table->suspects[i], now_us);
	table->suspect_count = 0;
}

/* Addresses that are not live */

static bool pr_address_is_live(const struct pr_gossip *gossip,
			       const struct nt_address *address)
{
	const GPtrArray *members = gossip->table.members;

	if (!strcmp(address->text, gossip->conf.address.text))
		return true;
	for (guint i = 0; i < members->len; i++) {
		const struct pr_member *member = members->pdata[i];

		if (pr_is_live(member) &&
		    !strcmp(member->address.text, address->text))
			return true;
	}
	return false;
}

static const struct nt_address *pr_pick_contact(struct pr_gossip *gossip)
{
	guint seeds = gossip->conf.seed_count;
	guint contacts = gossip->contacts->len;
	guint pick = g_rand_int_range(gossip->random, 0,
				      (gint32)(seeds + contacts + 1));
	struct pr_member *member;

	if (pick < seeds)
		return &gossip->conf.seeds[pick];
	if (pick < seeds + contacts)
		return &g_array_index(gossip->contacts, struct nt_address,
				      pick - seeds);
	member = pr_table_random(&gossip->table, false);
	return member && member->state != PR_LEFT ? &member->address : NULL;
}

static void pr_call_contact(struct pr_gossip *gossip, uint64_t now_us)
{
	for (int i = 0; i < PR_CONTACT_TRIES; i++) {
		const struct nt_address *to = pr_pick_contact(gossip);

		if (!to || pr_address_is_live(gossip, to))
			continue;
		pr_beat(gossip, now_us, to, to, NULL, NULL);
		return;
	}
}

static void pr_call_seeds(struct pr_gossip *gossip, uint64_t now_us)
{
	uint32_t count = MIN(gossip->conf.seed_count, PR_SEEDS_AT_START);

	for (uint32_t i = 0; i < count; i++) {
		const struct nt_address *to =
			&gossip->conf.seeds[gossip->seed_cursor++ %
					    gossip->conf.seed_count];

		if (strcmp(to->text, gossip->conf.address.text) != 0)
			pr_beat(gossip, now_us, to, to, NULL, NULL);
	}
}

static void pr_round(struct pr_gossip *gossip, uint64_t now_us)
{
	gossip->pages_left = PR_PAGES_PER_ROUND;
	for (int i = 0; i < PR_FANOUT; i++) {
		struct pr_member *member = pr_table_next(&gossip->table);

		if (member)
			pr_call_checked(gossip, member, now_us);
	}
	if (!gossip->generation || !gossip->table.live)
		pr_call_seeds(gossip, now_us);
	else
		pr_call_contact(gossip, now_us);
}

/* Leaving servers */

static struct pr_leaving *pr_find_leaving(struct pr_gossip *gossip,
					  const char *server)
{
	for (uint32_t i = 0; i < gossip->leaving_count; i++)
		if (!strcmp(gossip->leaving[i].name, server))
			return &gossip->leaving[i];
	return NULL;
}

static void pr_drop_leaving(struct pr_gossip *gossip, uint32_t i)
{
	char name[PR_NAME_BYTES];

	memcpy(name, gossip->leaving[i].name, sizeof(name));
	gossip->leaving[i] = gossip->leaving[--gossip->leaving_count];
	gossip->conf.driver.server(gossip->conf.driver.ctx, name, false);
}

static void pr_expire_leaving(struct pr_gossip *gossip, uint64_t now_us)
{
	for (uint32_t i = 0; i < gossip->leaving_count;) {
		if (now_us < gossip->leaving[i].seen_us + PR_LEAVING_US)
			i++;
		else
			pr_drop_leaving(gossip, i);
	}
}

void pr_gossip_leaving(struct pr_gossip *gossip, uint64_t now_us,
		       const char *server, uint64_t age_us)
{
	struct pr_leaving *row = pr_find_leaving(gossip, server);
	uint64_t seen_us = age_us < now_us ? now_us - age_us : 1;

	if (row) {
		row->seen_us = MAX(row->seen_us, seen_us);
		return;
	}
	if (age_us >= PR_LEAVING_US || !pr_wire_name(server) ||
	    strlen(server) >= PR_NAME_BYTES)
		return;
	if (gossip->leaving_count == PR_MAX_LEAVING_KNOWN) {
		lg_warn("peer", "too many leaving servers, %s is left out",
			server);
		return;
	}
	row = &gossip->leaving[gossip->leaving_count++];
	g_strlcpy(row->name, server, sizeof(row->name));
	row->seen_us = seen_us;
	row->spread = PR_LEAVING_SPREAD;
	gossip->conf.driver.server(gossip->conf.driver.ctx, server, true);
	pr_push(gossip, now_us);
}

/* Receiving */

bool pr_gossip_is_for_us(const struct pr_gossip *gossip,
			 const struct pr_msg_origin *origin)
{
	struct nt_address to;

	if (!me_on(ME_REPLAY_PROTECTION))
		return true;
	if (origin->to_incarnation &&
	    origin->to_incarnation != gossip->conf.incarnation)
		return false;
	return nt_parse(origin->to_address, &to) &&
	       !memcmp(&to.addr, &gossip->conf.address.addr, sizeof(to.addr));
}

/* The sender as a member, or NULL when the message is to be dropped. */
static struct pr_member *pr_sender(struct pr_gossip *gossip,
				   const struct pr_msg *msg)
{
	const struct pr_msg_origin *origin = &msg->origin;
	const struct pr_msg_heartbeat *beat = &msg->u.heartbeat;
	struct pr_member *member = pr_table_find(&gossip->table, origin->host);
	struct nt_address address;

	if (!pr_wire_name(origin->host) || !pr_wire_name(beat->zone) ||
	    !strcmp(origin->host, gossip->conf.host) ||
	    !nt_parse(beat->address, &address) ||
	    !pr_gossip_is_for_us(gossip, origin))
		return NULL;
	if (!member)
		member = pr_table_add(&gossip->table, origin->host, beat->zone,
				      &address);
	if (!member || origin->incarnation < member->incarnation ||
	    !pr_window_accept(&member->datagrams, origin->incarnation,
			      origin->sequence))
		return NULL;
	if (origin->incarnation > member->incarnation) {
		pr_table_restart(&gossip->table, member, origin->incarnation);
		member->address = address;
		g_strlcpy(member->zone, beat->zone, sizeof(member->zone));
	}
	return member;
}

static void pr_take_about_self(struct pr_gossip *gossip, uint64_t now_us,
			       const struct pr_msg_member *said)
{
	if (said->incarnation > gossip->conf.incarnation) {
		lg_warn("peer",
			"another process runs as %s, or the clock went back",
			gossip->conf.host);
		gossip->conf.incarnation = said->incarnation + 1;
		pr_push(gossip, now_us);
	} else if (said->incarnation == gossip->conf.incarnation &&
		   said->state == PR_MSG_SUSPECT) {
		pr_push(gossip, now_us);
	}
}

static void pr_take_rows(struct pr_gossip *gossip, uint64_t now_us,
			 const struct pr_msg_heartbeat *beat)
{
	for (u_int i = 0; i < beat->sample.sample_len; i++) {
		const struct pr_msg_member *said = &beat->sample.sample_val[i];

		if (!strcmp(said->name, gossip->conf.host))
			pr_take_about_self(gossip, now_us, said);
		else
			pr_table_take(&gossip->table, said, now_us);
	}
	for (u_int i = 0; i < beat->leaving.leaving_len; i++) {
		const struct pr_msg_leaving *row =
			&beat->leaving.leaving_val[i];

		pr_gossip_leaving(gossip, now_us, row->server,
				  (uint64_t)row->age_ms * PR_US_PER_MS);
	}
}

static void pr_take_generation(struct pr_gossip *gossip,
			       const struct pr_member *member,
			       const struct pr_msg_heartbeat *beat)
{
	char digest[DOC_DIGEST_BYTES];
	uint64_t age_us = UINT64_MAX;

	if (!me_on(ME_GENERATION_GOSSIP))
		return;
	if (beat->confirmed_age_ms != UINT32_MAX)
		age_us = (uint64_t)beat->confirmed_age_ms * PR_US_PER_MS;
	pr_digest_from_wire(beat->digest, digest);
	gossip->conf.driver.heard(gossip->conf.driver.ctx, member->name,
				  &member->address, beat->generation, digest,
				  age_us);
}

static void pr_take_beat(struct pr_gossip *gossip, uint64_t now_us,
			 struct pr_member *member,
			 const struct pr_msg_heartbeat *beat)
{
	member->called_us = 0;
	member->calls = 0;
	pr_table_alive(&gossip->table, member, now_us, now_us);
	if (beat->state == PR_MSG_LEFT)
		pr_table_left(&gossip->table, member);
	if (beat->draining)
		pr_table_draining(&gossip->table, member, true);
	pr_take_rows(gossip, now_us, beat);
	pr_confirm_suspects(gossip, now_us);
	pr_take_generation(gossip, member, beat);
}

void pr_gossip_receive(struct pr_gossip *gossip, uint64_t now_us,
		       const struct nt_address *from, const char *data,
		       size_t data_bytes)
{
	struct pr_member *member;
	struct pr_msg msg;

	if (gossip->left)
		return;
	if (data_bytes > PR_MAX_DATAGRAM_BYTES ||
	    !pr_wire_decode(gossip->conf.key, PR_HEARTBEAT, data, data_bytes,
			    &msg)) {
		ct_add(CT_PEER_REJECTED, 1);
		return;
	}
	member = pr_sender(gossip, &msg);
	if (member) {
		ct_add(CT_PEER_RECEIVED, 1);
		pr_take_beat(gossip, now_us, member, &msg.u.heartbeat);
		if (!msg.reply && member->state != PR_LEFT) {
			pr_beat(gossip, now_us, from, &member->address, member,
				&msg);
			pr_catch_up(gossip, now_us, from, member, &msg);
		}
	} else {
		ct_add(CT_PEER_REJECTED, 1);
	}
	pr_wire_free(&msg);
}

/* Driver's side */

void pr_gossip_tick(struct pr_gossip *gossip, uint64_t now_us)
{
	uint64_t gap_us = now_us - gossip->last_tick_us;

	if (gossip->left)
		return;
	if (gossip->last_tick_us && gap_us > PR_GAP_US)
		pr_table_skip(&gossip->table, gap_us);
	gossip->last_tick_us = now_us;
	pr_check_calls(gossip, now_us);
	if (now_us >= gossip->next_round_us) {
		gossip->next_round_us = now_us + PR_ROUND_US;
		pr_round(gossip, now_us);
	}
	if (gossip->push_wanted)
		pr_push(gossip, now_us);
	pr_expire_leaving(gossip, now_us);
	pr_table_expire(&gossip->table, now_us);
}

void pr_gossip_document(struct pr_gossip *gossip, uint64_t now_us,
			uint64_t generation, const char *digest)
{
	gossip->generation = generation;
	pr_digest_to_wire(digest, gossip->digest);
	if (me_on(ME_GENERATION_GOSSIP))
		pr_push(gossip, now_us);
}

void pr_gossip_drain(struct pr_gossip *gossip, uint64_t now_us)
{
	gossip->draining = true;
	gossip->table.changed = true;
	pr_push(gossip, now_us);
}

void pr_gossip_leave(struct pr_gossip *gossip, uint64_t now_us)
{
	gossip->left = true;
	gossip->last_push_us = 0;
	pr_push(gossip, now_us);
}

void pr_gossip_platform_begin(struct pr_gossip *gossip)
{
	g_array_set_size(gossip->contacts, 0);
	gossip->platform_draining = false;
	for (guint i = 0; i < gossip->table.members->len; i++) {
		struct pr_member *member = gossip->table.members->pdata[i];

		member->platform_draining = false;
	}
	gossip->table.changed = true;
}

void pr_gossip_platform_host(struct pr_gossip *gossip, const char *name,
			     const struct nt_address *address, bool leaving)
{
	struct pr_member *member = pr_table_find(&gossip->table, name);

	if (member)
		member->platform_draining = leaving;
	else if (!strcmp(name, gossip->conf.host))
		gossip->platform_draining = leaving;
	if (address && gossip->contacts->len < PR_MAX_CONTACTS)
		g_array_append_val(gossip->contacts, *address);
}

static gint pr_compare_names(gconstpointer a, gconstpointer b)
{
	const struct pr_host *first = a;
	const struct pr_host *second = b;

	return strcmp(first->name, second->name);
}

static bool pr_same_hosts(const GArray *a, const GArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		const struct pr_host *first =
			&g_array_index(a, struct pr_host, i);
		const struct pr_host *second =
			&g_array_index(b, struct pr_host, i);

		if (strcmp(first->name, second->name) != 0 ||
		    strcmp(first->zone, second->zone) != 0 ||
		    first->incarnation != second->incarnation ||
		    first->draining != second->draining)
			return false;
	}
	return true;
}

bool pr_gossip_hosts(struct pr_gossip *gossip, struct pr_hosts *hosts)
{
	struct pr_host self = { .incarnation = gossip->conf.incarnation,
				.draining = gossip->draining ||
					    gossip->platform_draining };
	GArray *rows;

	if (!gossip->table.changed)
		return false;
	gossip->table.changed = false;
	rows = g_array_new(FALSE, FALSE, sizeof(struct pr_host));
	g_strlcpy(self.name, gossip->conf.host, sizeof(self.name));
	g_strlcpy(self.zone, gossip->conf.zone, sizeof(self.zone));
	g_array_append_val(rows, self);
	pr_table_list(&gossip->table, rows);
	g_array_sort(rows, pr_compare_names);
	if (pr_same_hosts(rows, gossip->hosts)) {
		g_array_free(rows, TRUE);
		return false;
	}
	g_array_free(gossip->hosts, TRUE);
	gossip->hosts = rows;
	hosts->count = rows->len;
	hosts->rows = (const struct pr_host *)(void *)rows->data;
	return true;
}
