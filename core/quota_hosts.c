#include "core/quota_state.h"

#include "core/state.h"

/* The other hosts: which of them have a share, and how this one gets its own. */

enum {
	/* Between two questions to a host that does not list this one yet. */
	QT_ASK_US = 500 * 1000,
	/* A host that has just been listed, or that joins, tells by itself. */
	QT_LISTED_ASK_US = 1000 * 1000,
	/*
	 * Others may take a new host for known so late: one that is silent has joined
	 * anew when it answers again, or shares the quota with none of the others; one of
	 * an earlier build reads the list of hosts within this time.
	 */
	QT_JOIN_SILENT_US = 10 * 1000 * 1000,
	QT_JOIN_EARLIER_US = 360 * 1000 * 1000
};

struct qt_peer *qt_find_peer(const struct qt_quotas *quotas, uint64_t hash)
{
	return g_hash_table_lookup(quotas->peer_ids, &hash);
}

bool qt_shares(const struct qt_peer *peer)
{
	return peer->lists && !peer->joins && !peer->down;
}

void qt_for_each_count(struct qt_quotas *quotas,
		       void (*fn)(struct qt_quotas *quotas,
				  struct qt_count *count, void *ctx),
		       void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quotas->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct qt_customer *customer = value;

		if (customer->count)
			fn(quotas, customer->count, ctx);
	}
}

static void qt_clear_count(struct qt_quotas *quotas, struct qt_count *count,
			   void *ctx)
{
	qt_count_clear_states(quotas, count);
}

static void qt_forget_in_count(struct qt_quotas *quotas, struct qt_count *count,
			       void *ctx)
{
	const struct qt_peer *peer = ctx;

	qt_count_forget(quotas, count, peer->hash, !peer->gone);
}

void qt_set_peer(struct qt_quotas *quotas, struct qt_peer *peer, uint32_t set,
		 bool value)
{
	const struct qt_peer old = *peer;

	if (set & QT_LISTS)
		peer->lists = value;
	if (set & QT_JOINS)
		peer->joins = value;
	if (set & QT_GONE)
		peer->gone = value;
	if (set & QT_DOWN)
		peer->down = value;
	quotas->sharing += qt_shares(peer);
	quotas->sharing -= qt_shares(&old);
	quotas->gone += peer->gone;
	quotas->gone -= old.gone;
	if (qt_shares(&old) && !qt_shares(peer))
		qt_for_each_count(quotas, qt_forget_in_count, peer);
	if (peer->down != old.down || peer->joins != old.joins)
		quotas->generation++;
	if (peer->gone != old.gone || peer->joins != old.joins)
		qt_for_each_count(quotas, qt_clear_count, NULL);
}

void qt_take_flags(struct qt_quotas *quotas, struct qt_peer *peer,
		   const struct qt_message *message, uint64_t now_us)
{
	peer->earlier = message->earlier;
	qt_set_peer(quotas, peer, QT_JOINS, message->joins);
	if (message->joins && !quotas->joining)
		peer->ask_us = now_us + QT_LISTED_ASK_US;
	quotas->unsettled |= message->joins;
}

/* The list */

static void qt_remove_peer(struct qt_quotas *quotas, struct qt_peer *peer)
{
	quotas->suspects -= peer->suspect;
	qt_set_peer(quotas, peer, QT_LISTS | QT_JOINS | QT_GONE | QT_DOWN,
		    false);
	g_hash_table_remove(quotas->peer_ids, &peer->hash);
	g_ptr_array_remove_fast(quotas->peers, peer);
	quotas->generation++;
}

/* Those of the first list are there as long as this host, unless it joins. */
static void qt_add_peer(struct qt_quotas *quotas, uint64_t hash, bool settled)
{
	struct qt_peer *peer = qt_find_peer(quotas, hash);

	if (hash == quotas->host_hash)
		return;
	if (!peer) {
		peer = g_new0(struct qt_peer, 1);
		peer->hash = hash;
		peer->told = settled;
		peer->ask_us = quotas->joining ?
				       0 :
				       quotas->tick_us + QT_LISTED_ASK_US;
		g_ptr_array_add(quotas->peers, peer);
		g_hash_table_insert(quotas->peer_ids, &peer->hash, peer);
		quotas->generation++;
		quotas->unsettled |= !settled;
		qt_set_peer(quotas, peer, QT_LISTS, settled);
	}
	peer->listed = true;
}

/* Hosts that are gone from the list coordinate nothing. */
static void qt_leave_unlisted(struct qt_quotas *quotas)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, quotas->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct qt_customer *customer = value;

		if (customer->coordinator && !customer->coordinator->listed)
			customer->coordinator = NULL;
	}
}

void qt_set_hosts(struct qt_quotas *quotas, const uint64_t *hashes,
		  uint32_t count)
{
	uint32_t generation = quotas->generation;
	bool settled = !quotas->hosts_known && !quotas->joining;

	quotas->hosts_known = true;
	for (guint i = 0; i < quotas->peers->len; i++)
		((struct qt_peer *)g_ptr_array_index(quotas->peers, i))
			->listed = false;
	for (uint32_t i = 0; i < count; i++)
		qt_add_peer(quotas, hashes[i], settled);
	qt_leave_unlisted(quotas);
	for (guint i = quotas->peers->len; i--;) {
		struct qt_peer *peer = g_ptr_array_index(quotas->peers, i);

		if (!peer->listed)
			qt_remove_peer(quotas, peer);
	}
	if (generation != quotas->generation)
		qt_for_each_count(quotas, qt_clear_count, NULL);
	quotas->due |= quotas->unsettled;
}

/* Joining */

/* What it has counted is old, and its customers may have spent it elsewhere. */
static void qt_drop_count(struct qt_quotas *quotas, struct qt_count *count,
			  void *ctx)
{
	count->customer->count = NULL;
	qt_count_free(quotas, count);
}

/* All other hosts are asked, or told, now. */
static void qt_unsettle(struct qt_quotas *quotas)
{
	for (guint i = 0; i < quotas->peers->len; i++) {
		struct qt_peer *peer = g_ptr_array_index(quotas->peers, i);

		peer->told = false;
		peer->ask_us = 0;
	}
	quotas->unsettled = true;
	quotas->generation++;
	quotas->due = true;
}

void qt_join(struct qt_quotas *quotas, enum qt_join how, uint64_t now_us)
{
	quotas->joining = true;
	quotas->joins_new = how == QT_JOIN_NEW;
	quotas->join_count++;
	quotas->join_us = now_us;
	qt_for_each_count(quotas, qt_drop_count, NULL);
	for (guint i = 0; i < quotas->peers->len; i++)
		qt_set_peer(quotas, g_ptr_array_index(quotas->peers, i),
			    QT_LISTS, false);
	qt_unsettle(quotas);
}

void qt_note_time(struct qt_quotas *quotas, uint64_t now_us)
{
	if (!quotas->tick_us || now_us < quotas->tick_us + QT_PAUSE_US)
		return;
	quotas->tick_us = now_us;
	qt_join(quotas, QT_JOIN_AGAIN, now_us);
}

void qt_tick(struct qt_quotas *quotas, uint64_t now_us)
{
	qt_note_time(quotas, now_us);
	quotas->tick_us = now_us;
	qt_update_join(quotas, now_us);
}

/* Whether this host may have a share although the peer has not said that it lists it. */
static bool qt_is_excused(const struct qt_quotas *quotas,
			  const struct qt_peer *peer, uint64_t now_us)
{
	uint64_t waited_us = now_us - quotas->join_us;

	if (peer->gone)
		return true;
	if (peer->earlier)
		return !quotas->joins_new || waited_us >= QT_JOIN_EARLIER_US;
	return peer->down &&
	       (!quotas->joins_new || waited_us >= QT_JOIN_SILENT_US);
}

void qt_update_join(struct qt_quotas *quotas, uint64_t now_us)
{
	if (!quotas->joining || !quotas->hosts_known)
		return;
	for (guint i = 0; i < quotas->peers->len; i++) {
		const struct qt_peer *peer =
			g_ptr_array_index(quotas->peers, i);

		if ((!peer->lists || peer->earlier) &&
		    !qt_is_excused(quotas, peer, now_us))
			return;
	}
	quotas->joining = false;
	qt_unsettle(quotas);
}

static bool qt_is_settled(const struct qt_quotas *quotas,
			  const struct qt_peer *peer)
{
	return peer->lists && !peer->joins && (quotas->joining || peer->told);
}

/* Those that are down are asked for a sign of life instead. */
bool qt_must_ask(struct qt_quotas *quotas, struct qt_peer *peer,
		 uint64_t now_us)
{
	if (peer->down || qt_is_settled(quotas, peer))
		return false;
	quotas->unsettled = true;
	if (peer->busy || now_us < peer->ask_us)
		return false;
	peer->ask_us = now_us + QT_ASK_US;
	return true;
}
