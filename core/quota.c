#include "core/quota_state.h"

#include <string.h>

#include "core/state.h"
#include "document/document.h"
#include "base/text.h"

/* The side of a host that admits requests, and messages of both sides. */

enum {
	/* A report is sent for so many requests, or when one is that old. */
	QT_REPORT_REQUESTS = 4,
	QT_REPORT_US = QT_CHECK_US / 2,
	/* A part is named again within QT_NAME_US as long as it is not 1. */
	QT_PART_US = 2500 * 1000,
	/* A request counts as 1000 / 2 in 1000 s when it is admitted. */
	QT_USUAL_US = 2000 * 1000,
	QT_USUAL_WEIGHT_MILLI = 500,
	/*
	 * Admitted while no answer has come: this many requests, and what the quota
	 * allows in 1 / QT_UNANSWERED_DIVISOR s. A host that was paused has more.
	 */
	QT_UNANSWERED_REQUESTS = 8,
	QT_UNANSWERED_DIVISOR = 10,
	/* Hosts that are asked at a check whether they list this one. */
	QT_MAX_ASKED = 256,
	QT_MIN_PING_US = 500 * 1000,
	QT_MAX_PING_US = 5000 * 1000,
	/* Within this time the next coordinator learns who takes it for that. */
	QT_REPLACED_US = 2000 * 1000,
	/*
	 * A caller that returns soon may be admitted and still be answered in time. The
	 * spread is that of a customer of which nearly all requests are admitted.
	 */
	QT_MIN_RETRY_US = 100 * 1000,
	QT_MAX_RETRY_US = 2 * 1000 * 1000,
	QT_RETRY_SPREAD_US = 200 * 1000
};

static uint32_t qt_random(const struct qt_quotas *quotas, uint32_t below)
{
	return quotas->driver.random(quotas->driver.ctx) % below;
}

/* Messages */

struct qt_message *qt_message_new(uint64_t host)
{
	struct qt_message *message = g_new0(struct qt_message, 1);

	message->host = host;
	message->reports = g_array_new(FALSE, TRUE, sizeof(struct qt_entry));
	message->parts = g_array_new(FALSE, TRUE, sizeof(struct qt_entry));
	return message;
}

static void qt_unref_names(GArray *entries)
{
	for (guint i = 0; i < entries->len; i++)
		tx_unref((char *)g_array_index(entries, struct qt_entry, i)
				 .customer);
	g_array_free(entries, TRUE);
}

void qt_message_free(struct qt_message *message)
{
	qt_unref_names(message->reports);
	qt_unref_names(message->parts);
	g_free(message);
}

static struct qt_entry *qt_add_entry(GArray *entries, const char *customer)
{
	struct qt_entry entry = { .customer = tx_ref((char *)customer) };

	g_array_append_val(entries, entry);
	return &g_array_index(entries, struct qt_entry, entries->len - 1);
}

/* Hosts */

struct qt_peer *qt_find_coordinator(struct qt_quotas *quotas,
				    struct qt_customer *customer)
{
	struct qt_peer *old;
	uint64_t best;

	if (customer->generation == quotas->generation)
		return customer->coordinator;
	best = quotas->joining ?
		       0 :
		       core_host_score(customer->hash, quotas->host_hash);
	old = customer->coordinator;
	customer->generation = quotas->generation;
	customer->coordinator = NULL;
	for (guint i = 0; i < quotas->peers->len; i++) {
		struct qt_peer *peer = g_ptr_array_index(quotas->peers, i);
		uint64_t score = core_host_score(customer->hash, peer->hash);

		if (peer->down || peer->joins || score <= best)
			continue;
		best = score;
		customer->coordinator = peer;
	}
	if (old && old->down)
		customer->replaced_until_us = old->down_us + QT_REPLACED_US;
	return customer->coordinator;
}

/* It is asked for a sign of life before the next report to it. */
static void qt_set_suspect(struct qt_quotas *quotas, struct qt_peer *peer,
			   bool suspect)
{
	quotas->suspects += suspect && !peer->suspect;
	quotas->suspects -= !suspect && peer->suspect;
	peer->suspect = suspect;
	quotas->due |= suspect;
}

static void qt_on_heard(struct qt_quotas *quotas, struct qt_peer *peer)
{
	qt_set_suspect(quotas, peer, false);
	qt_set_peer(quotas, peer, QT_DOWN | QT_GONE, false);
}

/* The next host coordinates at once; it asks the others whether they agree. */
static void qt_on_silent(struct qt_quotas *quotas, struct qt_peer *peer,
			 uint64_t now_us)
{
	if (!peer->down)
		peer->down_us = now_us;
	peer->ping_us = now_us + CLAMP(now_us - peer->down_us, QT_MIN_PING_US,
				       QT_MAX_PING_US);
	qt_set_suspect(quotas, peer, false);
	qt_set_peer(quotas, peer, QT_DOWN, true);
	quotas->due = true;
}

/* Its process has ended. When it starts again, it asks before it has a share. */
static void qt_on_gone(struct qt_quotas *quotas, struct qt_peer *peer,
		       uint64_t now_us)
{
	qt_set_peer(quotas, peer, QT_GONE, true);
	qt_set_peer(quotas, peer, QT_LISTS, false);
	qt_on_silent(quotas, peer, now_us);
}

/* Customers */

static void qt_free_customer(struct qt_quotas *quotas,
			     struct qt_customer *customer)
{
	if (customer->link.data)
		g_queue_unlink(&quotas->pending, &customer->link);
	qt_count_free(quotas, customer->count);
	tx_unref(customer->name);
	g_free(customer);
}

static void qt_take_quota(struct qt_quotas *quotas,
			  const struct doc_customer *conf, GHashTable *kept,
			  uint64_t now_us)
{
	struct qt_customer *customer =
		g_hash_table_lookup(quotas->customers, conf->name);

	/* Of customers of the same name, the first one has a quota. */
	if (!conf->rate_milli || g_hash_table_contains(kept, conf->name))
		return;
	if (customer) {
		g_hash_table_steal(quotas->customers, conf->name);
	} else {
		customer = g_new0(struct qt_customer, 1);
		customer->name = tx_ref(conf->name);
		customer->hash = doc_hash_name(conf->name);
		customer->generation = quotas->generation - 1;
		customer->credit_milli = qt_random(quotas, QT_MILLI);
	}
	g_hash_table_insert(kept, customer->name, customer);
	if (customer->rate_milli == conf->rate_milli &&
	    customer->burst_milli == conf->burst_milli)
		return;
	customer->rate_milli = conf->rate_milli;
	customer->burst_milli = conf->burst_milli;
	if (customer->count)
		qt_count_clamp(quotas, customer->count, now_us);
}

static void qt_free_customers(struct qt_quotas *quotas)
{
	GHashTableIter iter;
	void *customer;

	g_hash_table_iter_init(&iter, quotas->customers);
	while (g_hash_table_iter_next(&iter, NULL, &customer))
		qt_free_customer(quotas, customer);
	g_hash_table_destroy(quotas->customers);
}

void qt_set_customers(struct qt_quotas *quotas,
		      const struct doc_customers *customers, uint64_t now_us)
{
	GHashTable *kept = g_hash_table_new(g_direct_hash, g_direct_equal);

	for (uint32_t i = 0; customers && i < customers->count; i++)
		qt_take_quota(quotas, &customers->rows[i], kept, now_us);
	qt_free_customers(quotas);
	quotas->customers = kept;
}

bool qt_has_customers(const struct qt_quotas *quotas)
{
	return g_hash_table_size(quotas->customers) > 0;
}

/* Admission */

/* Requests of this host in 1000 s, on average over about QT_USUAL_US. */
static void qt_update_usual(struct qt_customer *customer, uint32_t admitted,
			    uint64_t now_us)
{
	uint64_t age_us = MIN(now_us - customer->usual_us, QT_USUAL_US);

	customer->usual_milli -=
		(uint32_t)(customer->usual_milli * age_us / QT_USUAL_US);
	customer->usual_milli +=
		admitted * (uint32_t)(QT_MILLI * QT_US_PER_S / QT_USUAL_US);
	customer->usual_us = now_us;
}

/* While the coordinator is silent, the host goes on as before. */
static bool qt_usual_allows(const struct qt_quotas *quotas,
			    struct qt_customer *customer, uint64_t now_us)
{
	uint32_t milli = MIN(customer->usual_milli, customer->answered_milli);
	int64_t most = MAX((int64_t)milli * QT_MILLI, QT_TOKEN);

	if (customer->tokens_us <
	    customer->replaced_until_us - QT_REPLACED_US) {
		customer->tokens = qt_random(quotas, QT_TOKEN);
		customer->tokens_us = now_us;
	}
	customer->tokens +=
		(int64_t)(milli * (now_us - customer->tokens_us) / QT_MILLI);
	customer->tokens = MIN(customer->tokens, most);
	customer->tokens_us = now_us;
	if (customer->tokens < QT_TOKEN)
		return false;
	customer->tokens -= QT_TOKEN;
	return true;
}

static bool qt_unanswered_allow(const struct qt_customer *customer)
{
	uint32_t most =
		QT_UNANSWERED_REQUESTS +
		customer->rate_milli / (QT_MILLI * QT_UNANSWERED_DIVISOR);

	return customer->admitted + customer->sent < most;
}

static uint32_t qt_part(struct qt_quotas *quotas, struct qt_customer *customer,
			const struct qt_peer *peer, uint64_t now_us)
{
	if (!peer)
		return qt_count_offer(quotas, customer, 0, 0, now_us);
	return now_us < customer->part_until_us ? customer->part_milli :
						  QT_MILLI;
}

static void qt_put_pending(struct qt_quotas *quotas,
			   struct qt_customer *customer, uint64_t now_us)
{
	if (customer->link.data)
		return;
	customer->oldest_us = now_us;
	customer->link.data = customer;
	g_queue_push_tail_link(&quotas->pending, &customer->link);
}

static void qt_drop_pending(struct qt_quotas *quotas,
			    struct qt_customer *customer)
{
	if (!customer->link.data)
		return;
	customer->link.data = NULL;
	g_queue_unlink(&quotas->pending, &customer->link);
}

/* Whether the coordinator admits a part of the requests only. */
static bool qt_is_limited(const struct qt_customer *customer, uint64_t now_us)
{
	return now_us < customer->part_until_us &&
	       customer->part_milli < QT_MILLI;
}

/*
 * Whether a report is sent without waiting for the next check. Not of a customer that
 * is limited: its coordinator would get hundreds of reports a second, and answer late.
 */
static bool qt_has_enough(const struct qt_customer *customer, uint64_t now_us)
{
	return customer->admitted + customer->refused >= QT_REPORT_REQUESTS &&
	       !qt_is_limited(customer, now_us);
}

static void qt_count_request(struct qt_quotas *quotas,
			     struct qt_customer *customer,
			     const struct qt_peer *peer, bool admitted,
			     uint64_t now_us)
{
	qt_update_usual(customer, admitted, now_us);
	if (!peer) {
		qt_count_offer(quotas, customer, admitted, !admitted, now_us);
		return;
	}
	customer->admitted += admitted;
	customer->refused += !admitted;
	qt_put_pending(quotas, customer, now_us);
	quotas->due |= qt_has_enough(customer, now_us) && !peer->busy;
}

/* A random time, longer the fewer requests are admitted, so that returns spread. */
static uint64_t qt_retry_us(const struct qt_quotas *quotas, uint32_t part_milli)
{
	uint64_t spread_us =
		(uint64_t)QT_RETRY_SPREAD_US * QT_MILLI / MAX(part_milli, 1);

	spread_us = MIN(spread_us, QT_MAX_RETRY_US - QT_MIN_RETRY_US);
	return QT_MIN_RETRY_US + qt_random(quotas, (uint32_t)spread_us);
}

static bool qt_part_allows(struct qt_customer *customer, uint32_t part_milli)
{
	customer->credit_milli += part_milli;
	if (customer->credit_milli < QT_MILLI)
		return false;
	customer->credit_milli -= QT_MILLI;
	return true;
}

bool qt_admit(struct qt_quotas *quotas, const char *name, uint64_t now_us,
	      uint64_t *retry_us)
{
	struct qt_customer *customer =
		g_hash_table_lookup(quotas->customers, name);
	struct qt_peer *peer;
	uint32_t part_milli;
	bool admitted;

	if (!customer)
		return true;
	qt_note_time(quotas, now_us);
	peer = qt_find_coordinator(quotas, customer);
	part_milli = qt_part(quotas, customer, peer, now_us);
	if (now_us < customer->replaced_until_us)
		admitted = qt_usual_allows(quotas, customer, now_us);
	else
		admitted = qt_part_allows(customer, part_milli) &&
			   (!peer || qt_unanswered_allow(customer));
	qt_count_request(quotas, customer, peer, admitted, now_us);
	if (!admitted)
		*retry_us = qt_retry_us(quotas, part_milli);
	return admitted;
}

/* Sending */

bool qt_has_work(const struct qt_quotas *quotas)
{
	return quotas->pending.length || quotas->naming.length ||
	       quotas->suspects ||
	       (qt_has_customers(quotas) &&
		(quotas->joining || quotas->unsettled));
}

bool qt_is_due(const struct qt_quotas *quotas)
{
	return quotas->due;
}

static bool qt_must_report(const struct qt_customer *customer, uint64_t now_us)
{
	return qt_has_enough(customer, now_us) ||
	       now_us >= customer->oldest_us + QT_REPORT_US;
}

/* The customer's coordinator has become this host. */
static void qt_count_pending(struct qt_quotas *quotas,
			     struct qt_customer *customer, uint64_t now_us)
{
	qt_count_offer(quotas, customer, customer->admitted, customer->refused,
		       now_us);
	customer->admitted = 0;
	customer->refused = 0;
	qt_drop_pending(quotas, customer);
}

static void qt_report_handover(struct qt_quotas *quotas, struct qt_count *count,
			       void *ctx)
{
	const uint64_t *now_us = ctx;

	if (qt_find_coordinator(quotas, count->customer))
		qt_put_pending(quotas, count->customer, *now_us - QT_REPORT_US);
}

/* Reports at once to those that coordinate customers in the place of this host. */
static void qt_report_handovers(struct qt_quotas *quotas, uint64_t now_us)
{
	if (quotas->handed_over == quotas->generation)
		return;
	quotas->handed_over = quotas->generation;
	qt_for_each_count(quotas, qt_report_handover, &now_us);
}

static void qt_mark_receivers(struct qt_quotas *quotas, uint64_t now_us)
{
	uint32_t asked = 0;
	GList *next;

	quotas->unsettled = false;
	for (guint i = 0; i < quotas->peers->len; i++) {
		struct qt_peer *peer = g_ptr_array_index(quotas->peers, i);

		peer->asked = asked < QT_MAX_ASKED &&
			      qt_must_ask(quotas, peer, now_us);
		asked += peer->asked;
		peer->due = peer->asked || peer->suspect ||
			    (peer->down && now_us >= peer->ping_us);
	}
	for (GList *l = quotas->pending.head; l; l = next) {
		struct qt_customer *customer = l->data;
		struct qt_peer *peer = qt_find_coordinator(quotas, customer);

		next = l->next;
		if (!peer)
			qt_count_pending(quotas, customer, now_us);
		else if (qt_must_report(customer, now_us))
			peer->due = true;
	}
}

static void qt_add_report(struct qt_quotas *quotas, struct qt_message *message,
			  struct qt_customer *customer, uint64_t now_us)
{
	struct qt_entry *entry = qt_add_entry(message->reports, customer->name);

	entry->admitted = customer->admitted;
	entry->refused = customer->refused;
	customer->sent += customer->admitted;
	customer->admitted = 0;
	customer->refused = 0;
	qt_drop_pending(quotas, customer);
	if (customer->count && !customer->coordinator->earlier)
		qt_count_hand_over(customer->count, entry, now_us);
}

/* The counts whose parts are told now, as struct qt_count. */
static GPtrArray *qt_take_named(struct qt_quotas *quotas, uint64_t now_us)
{
	GPtrArray *named = g_ptr_array_new();
	GList *next;

	for (GList *l = quotas->naming.head; l; l = next) {
		struct qt_count *count = l->data;

		next = l->next;
		if (!qt_count_names(quotas, count, now_us))
			continue;
		qt_count_named(count, now_us);
		g_ptr_array_add(named, count);
	}
	return named;
}

static struct qt_message *qt_begin_message(const struct qt_quotas *quotas,
					   GHashTable *by_peer,
					   struct qt_peer *peer, GPtrArray *out)
{
	struct qt_message *message = g_hash_table_lookup(by_peer, peer);

	if (message)
		return message;
	message = qt_message_new(peer->hash);
	message->asks = peer->asked || peer->down;
	message->joins = quotas->joining;
	message->join = quotas->join_count;
	peer->busy = true;
	g_hash_table_insert(by_peer, peer, message);
	g_ptr_array_add(out, message);
	return message;
}

/* Whether the host does not know one of the parts yet. */
static bool qt_lacks_part(const struct qt_peer *peer, const GPtrArray *named,
			  uint64_t now_us)
{
	for (guint i = 0; i < named->len; i++)
		if (!qt_count_knows(g_ptr_array_index(named, i), peer->hash,
				    now_us))
			return true;
	return false;
}

static void qt_add_parts(struct qt_message *message, const GPtrArray *named,
			 uint64_t now_us)
{
	for (guint i = 0; i < named->len; i++) {
		const struct qt_count *count = g_ptr_array_index(named, i);

		if (qt_count_knows(count, message->host, now_us))
			continue;
		qt_add_entry(message->parts, count->customer->name)
			->part_milli = count->part_milli;
	}
}

GPtrArray *qt_take_messages(struct qt_quotas *quotas, uint64_t now_us)
{
	GHashTable *by_peer = g_hash_table_new(NULL, NULL);
	GPtrArray *out = g_ptr_array_new();
	GPtrArray *named;
	GList *next;

	qt_note_time(quotas, now_us);
	quotas->due = false;
	qt_report_handovers(quotas, now_us);
	qt_mark_receivers(quotas, now_us);
	named = qt_take_named(quotas, now_us);
	for (guint i = 0; i < quotas->peers->len; i++) {
		struct qt_peer *peer = g_ptr_array_index(quotas->peers, i);

		if (!peer->busy &&
		    (peer->due ||
		     (!peer->down && qt_lacks_part(peer, named, now_us))))
			qt_add_parts(
				qt_begin_message(quotas, by_peer, peer, out),
				named, now_us);
	}
	for (GList *l = quotas->pending.head; l; l = next) {
		struct qt_customer *customer = l->data;
		struct qt_message *message =
			g_hash_table_lookup(by_peer, customer->coordinator);

		next = l->next;
		if (message)
			qt_add_report(quotas, message, customer, now_us);
	}
	g_ptr_array_free(named, TRUE);
	g_hash_table_destroy(by_peer);
	return out;
}

/* Answers */

static struct qt_customer *qt_find_customer(const struct qt_quotas *quotas,
					    const struct qt_entry *entry)
{
	return g_hash_table_lookup(quotas->customers, entry->customer);
}

static void qt_take_part(struct qt_customer *customer,
			 const struct qt_entry *entry, uint64_t now_us)
{
	customer->part_milli = MIN(entry->part_milli, QT_MILLI);
	customer->part_until_us = now_us + QT_PART_US;
	/* Right after a request the average is higher by its weight. */
	customer->answered_milli =
		customer->usual_milli -
		MIN(customer->usual_milli, QT_USUAL_WEIGHT_MILLI);
}

/* The requests of a report are no longer on their way. */
static void qt_end_reports(struct qt_quotas *quotas,
			   const struct qt_message *message, bool lost,
			   uint64_t now_us)
{
	for (guint i = 0; i < message->reports->len; i++) {
		const struct qt_entry *entry =
			&g_array_index(message->reports, struct qt_entry, i);
		struct qt_customer *customer = qt_find_customer(quotas, entry);

		if (!customer)
			continue;
		customer->sent -= MIN(customer->sent, entry->admitted);
		if (lost && entry->hands_over && customer->count)
			qt_count_take_over(quotas, customer->count, entry,
					   now_us);
		if (lost) {
			customer->admitted += entry->admitted;
			customer->refused += entry->refused;
			qt_put_pending(quotas, customer, now_us);
		}
		quotas->due |= !lost && qt_has_enough(customer, now_us);
	}
}

static void qt_set_states(struct qt_quotas *quotas, uint64_t host,
			  const GArray *entries, bool answered)
{
	for (guint i = 0; i < entries->len; i++) {
		const struct qt_entry *entry =
			&g_array_index(entries, struct qt_entry, i);
		struct qt_customer *customer = qt_find_customer(quotas, entry);

		if (customer && customer->count)
			qt_count_set_state(quotas, customer->count, host,
					   answered && entry->mine);
	}
}

/* It has started anew and knows no hosts yet. It asks before it has a share. */
static bool qt_has_no_share(const struct qt_message *answer)
{
	return answer->joins && !answer->lists;
}

static void qt_on_without_share(struct qt_quotas *quotas, struct qt_peer *peer)
{
	qt_set_suspect(quotas, peer, false);
	qt_set_peer(quotas, peer, QT_DOWN | QT_LISTS, false);
	qt_set_peer(quotas, peer, QT_GONE, true);
}

/* The receiver has said whether it lists this host, and knows whether this one joins. */
static void qt_on_asked(struct qt_quotas *quotas, struct qt_peer *peer,
			const struct qt_message *message,
			const struct qt_message *answer)
{
	bool lists = answer->lists || answer->earlier;

	if (lists)
		qt_set_peer(quotas, peer, QT_LISTS, true);
	peer->told |= !message->joins;
}

void qt_on_answer(struct qt_quotas *quotas, struct qt_message *message,
		  const struct qt_message *answer, uint64_t now_us)
{
	struct qt_peer *peer = qt_find_peer(quotas, message->host);

	qt_note_time(quotas, now_us);
	qt_end_reports(quotas, message, false, now_us);
	for (guint i = 0; peer && i < answer->parts->len; i++) {
		const struct qt_entry *entry =
			&g_array_index(answer->parts, struct qt_entry, i);
		struct qt_customer *customer = qt_find_customer(quotas, entry);

		if (customer && qt_find_coordinator(quotas, customer) == peer)
			qt_take_part(customer, entry, now_us);
	}
	if (peer) {
		peer->busy = false;
		if (qt_has_no_share(answer))
			qt_on_without_share(quotas, peer);
		else
			qt_on_heard(quotas, peer);
		qt_take_flags(quotas, peer, answer, now_us);
		/* What was asked before a pause may not hold any more. */
		if (message->join == quotas->join_count)
			qt_on_asked(quotas, peer, message, answer);
		qt_set_states(quotas, peer->hash, answer->reports, true);
	}
	qt_update_join(quotas, now_us);
	qt_message_free(message);
}

void qt_on_lost(struct qt_quotas *quotas, struct qt_message *message,
		bool refused, uint64_t now_us)
{
	struct qt_peer *peer = qt_find_peer(quotas, message->host);

	qt_note_time(quotas, now_us);
	qt_end_reports(quotas, message, true, now_us);
	if (peer) {
		peer->busy = false;
		qt_set_states(quotas, peer->hash, message->parts, false);
		/* What is only told must not end what this host is admitted. */
		if (refused)
			qt_on_gone(quotas, peer, now_us);
		else if (message->reports->len || message->asks || peer->down ||
			 peer->suspect)
			qt_on_silent(quotas, peer, now_us);
	}
	qt_update_join(quotas, now_us);
	qt_message_free(message);
}

/* Messages of other hosts */

static void qt_answer_report(struct qt_quotas *quotas, uint64_t from,
			     const struct qt_entry *entry,
			     struct qt_message *answer, uint64_t now_us)
{
	struct qt_customer *customer = qt_find_customer(quotas, entry);
	uint32_t part_milli;

	if (!customer)
		return;
	if (entry->hands_over) {
		qt_count_offer(quotas, customer, 0, 0, now_us);
		qt_count_take_over(quotas, customer->count, entry, now_us);
	}
	part_milli = qt_count_offer(quotas, customer, entry->admitted,
				    entry->refused, now_us);
	qt_count_set_state(quotas, customer->count, from, true);
	qt_count_told(customer->count, from, now_us);
	qt_add_entry(answer->parts, customer->name)->part_milli = part_milli;
}

static void qt_answer_part(struct qt_quotas *quotas, uint64_t from,
			   const struct qt_entry *entry,
			   struct qt_message *answer, uint64_t now_us)
{
	struct qt_customer *customer = qt_find_customer(quotas, entry);
	const struct qt_peer *peer = qt_find_peer(quotas, from);
	struct qt_peer *other =
		customer ? qt_find_coordinator(quotas, customer) : NULL;
	bool mine = other && other == peer;

	if (mine)
		qt_take_part(customer, entry, now_us);
	else if (other)
		qt_set_suspect(quotas, other, true);
	qt_add_entry(answer->reports, entry->customer)->mine = mine;
}

/* It lists this host: it has its address. */
static void qt_on_peer_message(struct qt_quotas *quotas, struct qt_peer *peer,
			       const struct qt_message *message,
			       uint64_t now_us)
{
	if (message->asks || message->reports->len)
		qt_on_heard(quotas, peer);
	qt_take_flags(quotas, peer, message, now_us);
	if (!quotas->joining) {
		qt_set_peer(quotas, peer, QT_LISTS, true);
		peer->told |= message->asks;
	}
}

void qt_on_message(struct qt_quotas *quotas, uint64_t from,
		   const struct qt_message *message, struct qt_message *answer,
		   uint64_t now_us)
{
	struct qt_peer *peer = qt_find_peer(quotas, from);

	qt_note_time(quotas, now_us);
	if (peer)
		qt_on_peer_message(quotas, peer, message, now_us);
	answer->lists = peer != NULL;
	answer->joins = quotas->joining;
	for (guint i = 0; i < message->reports->len; i++)
		qt_answer_report(
			quotas, from,
			&g_array_index(message->reports, struct qt_entry, i),
			answer, now_us);
	for (guint i = 0; i < message->parts->len; i++)
		qt_answer_part(
			quotas, from,
			&g_array_index(message->parts, struct qt_entry, i),
			answer, now_us);
}

void qt_init(struct qt_quotas *quotas, const struct qt_driver *driver,
	     uint64_t host_hash, uint32_t slack)
{
	memset(quotas, 0, sizeof(*quotas));
	quotas->driver = *driver;
	quotas->host_hash = host_hash;
	quotas->slack = slack;
	quotas->customers = g_hash_table_new(g_direct_hash, g_direct_equal);
	quotas->peers = g_ptr_array_new_with_free_func(g_free);
	quotas->peer_ids = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&quotas->pending);
	g_queue_init(&quotas->naming);
}

void qt_free(struct qt_quotas *quotas)
{
	qt_free_customers(quotas);
	g_hash_table_destroy(quotas->peer_ids);
	g_ptr_array_free(quotas->peers, TRUE);
}
