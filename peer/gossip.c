#include "peer/gossip.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/mechanism.h"

enum { PR_CONTACT_TRIES = 4, PR_LEAVING_TRANSMITS = 16, PR_US_PER_MS = 1000 };

/*
 * Time from the last notice until a server no longer counts as leaving. A
 * server that has left sends no further notices, and a new one may use its name
 * later.
 */
static const uint64_t PR_LEAVING_EXPIRY_US = UINT64_C(600) * 1000 * 1000;

void pr_gossip_init(struct pr_gossip *gossip, const struct pr_gossip_conf *conf)
{
	memset(gossip, 0, sizeof(*gossip));
	gossip->conf = *conf;
	gossip->random = g_rand_new_with_seed(conf->random_seed);
	gossip->xid = g_rand_int(gossip->random);
	gossip->contacts = g_array_new(FALSE, FALSE, sizeof(struct nt_address));
	gossip->hosts = g_array_new(FALSE, FALSE, sizeof(struct pr_host));
	pr_table_init(&gossip->table, conf->host, gossip->random);
	gossip->table.hosts_changed = true;
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

void pr_gossip_fill_origin(struct pr_gossip *gossip,
			   const struct nt_address *address,
			   const struct pr_member *member,
			   struct pr_msg_origin *origin)
{
	origin->host = (char *)gossip->conf.host;
	origin->incarnation = gossip->conf.incarnation;
	origin->sequence = ++gossip->sequence;
	origin->to_address = (char *)address->text;
	/* A member that is not alive may have restarted, and would reject a
	 * message to its earlier incarnation. 0 stands for any. */
	if (member && member->state == PR_ALIVE)
		origin->to_incarnation = member->incarnation;
}

static uint32_t pr_age_ms(uint64_t now_us, uint64_t at_us)
{
	uint64_t age_ms = now_us > at_us ? (now_us - at_us) / PR_US_PER_MS : 0;

	return (uint32_t)MIN(age_ms, UINT32_MAX - 1);
}

/*
 * Fills rows of leaving servers: in the first pass over the table those with
 * transmits left, in the second pass the others.
 */
static uint32_t pr_fill_leaving(struct pr_gossip *gossip, uint64_t now_us,
				struct pr_msg_leaving *rows)
{
	uint32_t count = gossip->leaving_count;
	uint32_t filled = 0;

	if (!count)
		return 0;
	for (uint32_t i = 0; i < 2 * count && filled < PR_WIRE_MAX_LEAVING;
	     i++) {
		struct pr_leaving_server *row =
			&gossip->leaving[gossip->leaving_cursor++ % count];
		bool priority = row->transmits_left > 0;

		if (priority != (i < count))
			continue;
		row->transmits_left -= priority;
		rows[filled].server = row->name;
		rows[filled++].age_ms = pr_age_ms(now_us, row->last_notice_us);
	}
	return filled;
}

static void pr_send_msg(struct pr_gossip *gossip, const struct nt_address *to,
			struct pr_msg *msg)
{
	struct pr_msg_heartbeat *heartbeat = &msg->u.heartbeat;
	char data[PR_MAX_DATAGRAM_BYTES];
	size_t bytes;

	/* With long names not all rows fit; drop the last sample rows. */
	while (!(bytes = pr_wire_encode(gossip->conf.key, msg, data,
					sizeof(data))) &&
	       heartbeat->sample.sample_len)
		heartbeat->sample.sample_len--;
	if (!bytes)
		return;
	ct_add(CT_PEER_SENT, 1);
	ct_add(CT_PEER_SENT_BYTES, bytes);
	gossip->conf.callbacks.send_datagram(gossip->conf.callbacks.ctx, to,
					     data, bytes);
}

/* A heartbeat message and the memory of its rows. */
struct pr_heartbeat_buf {
	struct pr_msg msg;
	struct pr_msg_member sample[PR_WIRE_MAX_SAMPLE];
	struct pr_msg_leaving leaving[PR_WIRE_MAX_LEAVING];
};

/*
 * Fills all fields but the sample rows. MEMBER may be NULL. The message is the
 * reply to CALL, or a call when CALL is NULL.
 */
static struct pr_msg_heartbeat *
pr_fill_heartbeat(struct pr_gossip *gossip, uint64_t now_us,
		  const struct nt_address *to_address,
		  const struct pr_member *member, const struct pr_msg *call,
		  struct pr_heartbeat_buf *rows)
{
	struct pr_msg_heartbeat *heartbeat = &rows->msg.u.heartbeat;

	memset(&rows->msg, 0, sizeof(rows->msg));
	rows->msg.procedure = PR_HEARTBEAT;
	rows->msg.reply = !!call;
	rows->msg.xid = call ? call->xid : ++gossip->xid;
	pr_gossip_fill_origin(gossip, to_address, member, &rows->msg.origin);
	heartbeat->zone = (char *)gossip->conf.zone;
	heartbeat->address = gossip->conf.address.text;
	heartbeat->state = gossip->left ? PR_MSG_LEFT : PR_MSG_ALIVE;
	heartbeat->draining = gossip->draining;
	heartbeat->generation = gossip->generation;
	memcpy(heartbeat->digest, gossip->digest, sizeof(heartbeat->digest));
	heartbeat->confirmed_age_ms = UINT32_MAX;
	if (gossip->confirmed_us)
		heartbeat->confirmed_age_ms =
			pr_age_ms(now_us, gossip->confirmed_us);
	heartbeat->members = gossip->table.live_count;
	heartbeat->sample.sample_val = rows->sample;
	heartbeat->leaving.leaving_val = rows->leaving;
	heartbeat->leaving.leaving_len =
		pr_fill_leaving(gossip, now_us, rows->leaving);
	return heartbeat;
}

/*
 * Sends a heartbeat with a sample of the table to TO. TO_ADDRESS is the address
 * that the receiver has in its settings and checks.
 */
static void pr_send_heartbeat(struct pr_gossip *gossip, uint64_t now_us,
			      const struct nt_address *to,
			      const struct nt_address *to_address,
			      const struct pr_member *member,
			      const struct pr_msg *call)
{
	struct pr_heartbeat_buf rows;
	struct pr_msg_heartbeat *heartbeat = pr_fill_heartbeat(
		gossip, now_us, to_address, member, call, &rows);

	heartbeat->sample.sample_len =
		pr_table_fill_sample(&gossip->table, member, now_us,
				     rows.sample, PR_WIRE_MAX_SAMPLE);
	pr_send_msg(gossip, to, &rows.msg);
}

/*
 * Sends pages of the member table to a host that reports fewer live members,
 * because it has just joined or was cut off from others.
 */
static void pr_send_pages(struct pr_gossip *gossip, uint64_t now_us,
			  const struct nt_address *to,
			  const struct pr_member *member,
			  const struct pr_msg *call)
{
	uint32_t caller_live = call->u.heartbeat.members;
	uint32_t own_live = gossip->table.live_count;
	struct pr_heartbeat_buf rows;
	struct pr_msg_heartbeat *heartbeat;

	if (caller_live >= own_live)
		return;
	for (int i = 0; i < PR_PAGES_PER_CALL && gossip->pages_left; i++) {
		gossip->pages_left--;
		heartbeat = pr_fill_heartbeat(gossip, now_us, &member->address,
					      member, call, &rows);
		heartbeat->sample.sample_len =
			pr_table_fill_page(&gossip->table, now_us, rows.sample,
					   PR_WIRE_MAX_SAMPLE);
		pr_send_msg(gossip, to, &rows.msg);
	}
}

static void pr_send_call(struct pr_gossip *gossip, struct pr_member *member,
			 uint64_t now_us)
{
	pr_send_heartbeat(gossip, now_us, &member->address, &member->address,
			  member, NULL);
}

/* To PR_PUSH_FANOUT different live members, from a random one on. */
static void pr_push_to_some(struct pr_gossip *gossip, uint64_t now_us)
{
	const GPtrArray *members = gossip->table.members;
	guint first =
		members->len ? g_rand_int(gossip->random) % members->len : 0;
	uint32_t sent = 0;

	for (guint i = 0; i < members->len && sent < PR_PUSH_FANOUT; i++) {
		struct pr_member *member =
			members->pdata[(first + i) % members->len];

		if (!pr_member_is_live(member))
			continue;
		pr_send_call(gossip, member, now_us);
		sent++;
	}
}

/*
 * Calls random live members now, or at a later tick if the last push was less
 * than PR_PUSH_INTERVAL_US ago.
 */
static void pr_push_heartbeats(struct pr_gossip *gossip, uint64_t now_us)
{
	gossip->push_pending = true;
	if (now_us < gossip->last_push_us + PR_PUSH_INTERVAL_US)
		return;
	gossip->push_pending = false;
	gossip->last_push_us = now_us;
	pr_push_to_some(gossip, now_us);
}

/* Calls a live member and suspects it if it does not reply. */
static void pr_call_expecting_reply(struct pr_gossip *gossip,
				    struct pr_member *member, uint64_t now_us)
{
	if (member->unanswered_since_us ||
	    gossip->pending_call_count == PR_MAX_PENDING_CALLS)
		return;
	member->unanswered_since_us = now_us;
	member->unanswered_calls = 1;
	gossip->pending_calls[gossip->pending_call_count++] = member;
	pr_send_call(gossip, member, now_us);
}

/* Returns whether a reply is still expected. */
static bool pr_check_pending_call(struct pr_gossip *gossip,
				  struct pr_member *member, uint64_t now_us)
{
	uint64_t called_us = member->unanswered_since_us;

	if (!called_us || !pr_member_is_live(member))
		return false;
	if (now_us < called_us + (uint64_t)member->unanswered_calls *
					 PR_REPLY_TIMEOUT_US)
		return true;
	if (member->unanswered_calls < PR_MAX_TRIES) {
		member->unanswered_calls++;
		pr_send_call(gossip, member, now_us);
		return true;
	}
	member->unanswered_since_us = 0;
	pr_table_mark_suspect(&gossip->table, member, called_us);
	pr_push_heartbeats(gossip, now_us);
	return false;
}

static void pr_check_pending_calls(struct pr_gossip *gossip, uint64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < gossip->pending_call_count; i++) {
		struct pr_member *member = gossip->pending_calls[i];

		if (pr_check_pending_call(gossip, member, now_us))
			gossip->pending_calls[kept++] = member;
		else
			member->unanswered_since_us = 0;
	}
	gossip->pending_call_count = kept;
	/* No confirmation needed: this host itself has called them. */
	gossip->table.new_suspect_count = 0;
}

/*
 * Calls members that another host suspects, with a probability that makes
 * about PR_CONFIRMERS hosts do so. The call contains the suspicion, which a
 * live member then refutes. So a bad network path between two hosts does not
 * remove a member.
 */
static void pr_confirm_suspects(struct pr_gossip *gossip, uint64_t now_us)
{
	struct pr_table *table = &gossip->table;
	gint32 live = (gint32)MAX(table->live_count, 1);

	for (uint32_t i = 0; i < table->new_suspect_count; i++)
		if (g_rand_int_range(gossip->random, 0, live) < PR_CONFIRMERS)
			pr_send_call(gossip, table->new_suspects[i], now_us);
	table->new_suspect_count = 0;
}

/* Addresses of hosts that are not live */

static bool pr_address_is_live(const struct pr_gossip *gossip,
			       const struct nt_address *address)
{
	const GPtrArray *members = gossip->table.members;

	if (!strcmp(address->text, gossip->conf.address.text))
		return true;
	for (guint i = 0; i < members->len; i++) {
		const struct pr_member *member = members->pdata[i];

		if (pr_member_is_live(member) &&
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
	member = pr_table_pick_random(&gossip->table, false);
	return member && member->state != PR_LEFT ? &member->address : NULL;
}

static void pr_call_contact(struct pr_gossip *gossip, uint64_t now_us)
{
	for (int i = 0; i < PR_CONTACT_TRIES; i++) {
		const struct nt_address *to = pr_pick_contact(gossip);

		if (!to || pr_address_is_live(gossip, to))
			continue;
		pr_send_heartbeat(gossip, now_us, to, to, NULL, NULL);
		return;
	}
}

static void pr_call_seeds(struct pr_gossip *gossip, uint64_t now_us)
{
	uint32_t count = MIN(gossip->conf.seed_count, PR_SEEDS_PER_ROUND);

	for (uint32_t i = 0; i < count; i++) {
		const struct nt_address *to =
			&gossip->conf.seeds[gossip->seed_cursor++ %
					    gossip->conf.seed_count];

		if (strcmp(to->text, gossip->conf.address.text) != 0)
			pr_send_heartbeat(gossip, now_us, to, to, NULL, NULL);
	}
}

static void pr_run_round(struct pr_gossip *gossip, uint64_t now_us)
{
	gossip->pages_left = PR_PAGES_PER_ROUND;
	for (int i = 0; i < PR_FANOUT; i++) {
		struct pr_member *member = pr_table_next_live(&gossip->table);

		if (member)
			pr_call_expecting_reply(gossip, member, now_us);
	}
	if (!gossip->generation || !gossip->table.live_count)
		pr_call_seeds(gossip, now_us);
	else
		pr_call_contact(gossip, now_us);
}

/* Leaving servers */

static struct pr_leaving_server *pr_find_leaving(struct pr_gossip *gossip,
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
	gossip->conf.callbacks.on_server_state(gossip->conf.callbacks.ctx, name,
					       false);
}

static void pr_expire_leaving(struct pr_gossip *gossip, uint64_t now_us)
{
	for (uint32_t i = 0; i < gossip->leaving_count;) {
		if (now_us <
		    gossip->leaving[i].last_notice_us + PR_LEAVING_EXPIRY_US)
			i++;
		else
			pr_drop_leaving(gossip, i);
	}
}

void pr_gossip_add_leaving_server(struct pr_gossip *gossip, uint64_t now_us,
				  const char *server, uint64_t age_us)
{
	struct pr_leaving_server *row = pr_find_leaving(gossip, server);
	uint64_t notice_us = age_us < now_us ? now_us - age_us : 1;

	if (row) {
		row->last_notice_us = MAX(row->last_notice_us, notice_us);
		return;
	}
	if (age_us >= PR_LEAVING_EXPIRY_US || !pr_wire_name_is_valid(server) ||
	    strlen(server) >= PR_NAME_BYTES)
		return;
	if (gossip->leaving_count == PR_MAX_LEAVING_SERVERS) {
		lg_warn("peer", "table of leaving servers is full, ignored %s",
			server);
		return;
	}
	row = &gossip->leaving[gossip->leaving_count++];
	g_strlcpy(row->name, server, sizeof(row->name));
	row->last_notice_us = notice_us;
	row->transmits_left = PR_LEAVING_TRANSMITS;
	gossip->conf.callbacks.on_server_state(gossip->conf.callbacks.ctx,
					       server, true);
	pr_push_heartbeats(gossip, now_us);
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

/*
 * Returns the member that sent MSG, added or restarted if needed, or NULL when
 * the message has to be dropped.
 */
static struct pr_member *pr_accept_sender(struct pr_gossip *gossip,
					  const struct pr_msg *msg)
{
	const struct pr_msg_origin *origin = &msg->origin;
	const struct pr_msg_heartbeat *heartbeat = &msg->u.heartbeat;
	struct pr_member *member = pr_table_find(&gossip->table, origin->host);
	struct nt_address address;

	if (!pr_wire_name_is_valid(origin->host) ||
	    !pr_wire_name_is_valid(heartbeat->zone) ||
	    !strcmp(origin->host, gossip->conf.host) ||
	    !nt_parse(heartbeat->address, &address) ||
	    !pr_gossip_is_for_us(gossip, origin))
		return NULL;
	if (!member)
		member = pr_table_add(&gossip->table, origin->host,
				      heartbeat->zone, &address);
	if (!member || origin->incarnation < member->incarnation ||
	    !pr_replay_window_accept(&member->datagram_window,
				     origin->incarnation, origin->sequence))
		return NULL;
	if (origin->incarnation > member->incarnation) {
		pr_table_set_incarnation(&gossip->table, member,
					 origin->incarnation);
		member->address = address;
		g_strlcpy(member->zone, heartbeat->zone, sizeof(member->zone));
	}
	return member;
}

/*
 * Handles a row about this host. A suspicion is refuted by pushing heartbeats.
 * When the row has a higher incarnation, this host exceeds it, so that others
 * accept its messages again.
 */
static void pr_merge_own_row(struct pr_gossip *gossip, uint64_t now_us,
			     const struct pr_msg_member *row)
{
	if (row->incarnation > gossip->conf.incarnation) {
		lg_warn("peer",
			"another process uses host name %s, or the clock went "
			"back; raising the incarnation of this host",
			gossip->conf.host);
		gossip->conf.incarnation = row->incarnation + 1;
		pr_push_heartbeats(gossip, now_us);
	} else if (row->incarnation == gossip->conf.incarnation &&
		   row->state == PR_MSG_SUSPECT) {
		pr_push_heartbeats(gossip, now_us);
	}
}

static void pr_merge_rows(struct pr_gossip *gossip, uint64_t now_us,
			  const struct pr_msg_heartbeat *heartbeat)
{
	for (u_int i = 0; i < heartbeat->sample.sample_len; i++) {
		const struct pr_msg_member *row =
			&heartbeat->sample.sample_val[i];

		if (!strcmp(row->name, gossip->conf.host))
			pr_merge_own_row(gossip, now_us, row);
		else
			pr_table_merge_row(&gossip->table, row, now_us);
	}
	for (u_int i = 0; i < heartbeat->leaving.leaving_len; i++) {
		const struct pr_msg_leaving *row =
			&heartbeat->leaving.leaving_val[i];

		pr_gossip_add_leaving_server(gossip, now_us, row->server,
					     (uint64_t)row->age_ms *
						     PR_US_PER_MS);
	}
}

static void pr_report_generation(struct pr_gossip *gossip,
				 const struct pr_member *member,
				 const struct pr_msg_heartbeat *heartbeat)
{
	char digest[DOC_DIGEST_BYTES];
	uint64_t age_us = UINT64_MAX;

	if (!me_on(ME_GENERATION_GOSSIP))
		return;
	if (heartbeat->confirmed_age_ms != UINT32_MAX)
		age_us = (uint64_t)heartbeat->confirmed_age_ms * PR_US_PER_MS;
	pr_digest_from_wire(heartbeat->digest, digest);
	gossip->conf.callbacks.on_generation(
		gossip->conf.callbacks.ctx, member->name, &member->address,
		heartbeat->generation, digest, age_us);
}

static void pr_handle_heartbeat(struct pr_gossip *gossip, uint64_t now_us,
				struct pr_member *member,
				const struct pr_msg_heartbeat *heartbeat)
{
	member->unanswered_since_us = 0;
	member->unanswered_calls = 0;
	pr_table_mark_alive(&gossip->table, member, now_us, now_us);
	if (heartbeat->state == PR_MSG_LEFT)
		pr_table_mark_left(&gossip->table, member);
	if (heartbeat->draining)
		pr_table_set_draining(&gossip->table, member, true);
	pr_merge_rows(gossip, now_us, heartbeat);
	pr_confirm_suspects(gossip, now_us);
	pr_report_generation(gossip, member, heartbeat);
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
	member = pr_accept_sender(gossip, &msg);
	if (member) {
		ct_add(CT_PEER_RECEIVED, 1);
		pr_handle_heartbeat(gossip, now_us, member, &msg.u.heartbeat);
		if (!msg.reply && member->state != PR_LEFT) {
			pr_send_heartbeat(gossip, now_us, from,
					  &member->address, member, &msg);
			pr_send_pages(gossip, now_us, from, member, &msg);
		}
	} else {
		ct_add(CT_PEER_REJECTED, 1);
	}
	pr_wire_free(&msg);
}

/* Functions for the user of the protocol */

void pr_gossip_tick(struct pr_gossip *gossip, uint64_t now_us)
{
	uint64_t gap_us = now_us - gossip->last_tick_us;

	if (gossip->left)
		return;
	if (gossip->last_tick_us && gap_us > PR_PAUSE_US)
		pr_table_skip_pause(&gossip->table, gap_us);
	gossip->last_tick_us = now_us;
	pr_check_pending_calls(gossip, now_us);
	if (now_us >= gossip->next_round_us) {
		gossip->next_round_us = now_us + PR_ROUND_US;
		pr_run_round(gossip, now_us);
	}
	if (gossip->push_pending)
		pr_push_heartbeats(gossip, now_us);
	pr_expire_leaving(gossip, now_us);
	pr_table_expire(&gossip->table, now_us);
}

void pr_gossip_set_generation(struct pr_gossip *gossip, uint64_t now_us,
			      uint64_t generation, const char *digest)
{
	gossip->generation = generation;
	pr_digest_to_wire(digest, gossip->digest);
	if (me_on(ME_GENERATION_GOSSIP))
		pr_push_heartbeats(gossip, now_us);
}

void pr_gossip_drain(struct pr_gossip *gossip, uint64_t now_us)
{
	gossip->draining = true;
	gossip->table.hosts_changed = true;
	pr_push_heartbeats(gossip, now_us);
}

void pr_gossip_leave(struct pr_gossip *gossip, uint64_t now_us)
{
	gossip->left = true;
	gossip->last_push_us = 0; /* push now, whatever the interval */
	pr_push_heartbeats(gossip, now_us);
}

void pr_gossip_begin_platform_list(struct pr_gossip *gossip)
{
	g_array_set_size(gossip->contacts, 0);
	gossip->platform_draining = false;
	for (guint i = 0; i < gossip->table.members->len; i++) {
		struct pr_member *member = gossip->table.members->pdata[i];

		member->platform_draining = false;
	}
	gossip->table.hosts_changed = true;
}

void pr_gossip_add_platform_host(struct pr_gossip *gossip, const char *name,
				 const struct nt_address *address,
				 bool draining)
{
	struct pr_member *member = pr_table_find(&gossip->table, name);

	if (member)
		member->platform_draining = draining;
	else if (!strcmp(name, gossip->conf.host))
		gossip->platform_draining = draining;
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

bool pr_gossip_update_hosts(struct pr_gossip *gossip, struct pr_hosts *hosts)
{
	struct pr_host self = { .incarnation = gossip->conf.incarnation,
				.draining = gossip->draining ||
					    gossip->platform_draining };
	GArray *rows;

	if (!gossip->table.hosts_changed)
		return false;
	gossip->table.hosts_changed = false;
	rows = g_array_new(FALSE, FALSE, sizeof(struct pr_host));
	g_array_set_clear_func(rows, pr_clear_host);
	self.name = tx_new(gossip->conf.host);
	self.zone = tx_new(gossip->conf.zone);
	g_array_append_val(rows, self);
	pr_table_append_hosts(&gossip->table, rows);
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
