#include "core/crash_guard.h"

#include <string.h>

enum {
	CG_US_PER_S = 1000 * 1000,
	/* Short, since servers may begin to crash under what they could answer. */
	CG_ANSWER_MEMORY_US = 5 * CG_US_PER_S,
	CG_FIRST_BLOCK_US = 60 * CG_US_PER_S,
	CG_MAX_BLOCK_US = 600 * CG_US_PER_S,
	CG_MAX_SUSPECTS = 4096,
	CG_ANSWERS = 4096 /* a power of two */
};

/* A request under which a server crashed, or that another host has blocked. */
struct cg_suspect {
	struct cg_key key; /* first: key of the table */
	GList link; /* in cg_guard.order */
	uint64_t servers[CG_CRASHES_TO_BLOCK]; /* crashed ones, all different */
	uint32_t crashes;
	uint64_t changed_us;
	uint64_t block_us; /* duration of the latest block; 0: none yet */
	uint64_t blocked_until_us;
};

struct cg_answer {
	struct cg_key key;
	uint64_t at_us; /* 0: the place is free */
};

static guint cg_hash_key(const void *key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean cg_same_key(const void *a, const void *b)
{
	return !memcmp(a, b, CG_KEY_BYTES);
}

void cg_init(struct cg_guard *guard)
{
	guard->suspects =
		g_hash_table_new_full(cg_hash_key, cg_same_key, NULL, g_free);
	guard->answers = g_new0(struct cg_answer, CG_ANSWERS);
	g_queue_init(&guard->order);
}

void cg_free(struct cg_guard *guard)
{
	g_hash_table_destroy(guard->suspects);
	g_free(guard->answers);
}

static void cg_remove(struct cg_guard *guard, struct cg_suspect *suspect)
{
	g_queue_unlink(&guard->order, &suspect->link);
	g_hash_table_remove(guard->suspects, &suspect->key);
}

static bool cg_is_outdated(const struct cg_suspect *suspect, uint64_t now_us)
{
	return now_us > MAX(suspect->changed_us, suspect->blocked_until_us) +
				CG_MEMORY_US;
}

/* Those that changed last are kept. */
static void cg_remove_old(struct cg_guard *guard, uint64_t now_us)
{
	struct cg_suspect *oldest;

	while ((oldest = g_queue_peek_head(&guard->order)) &&
	       (cg_is_outdated(oldest, now_us) ||
		guard->order.length > CG_MAX_SUSPECTS))
		cg_remove(guard, oldest);
}

/* Moves the suspect to the end of the order. */
static void cg_touch(struct cg_guard *guard, struct cg_suspect *suspect,
		     uint64_t now_us)
{
	suspect->changed_us = now_us;
	g_queue_unlink(&guard->order, &suspect->link);
	g_queue_push_tail_link(&guard->order, &suspect->link);
	cg_remove_old(guard, now_us);
}

static struct cg_suspect *
cg_get_or_add(struct cg_guard *guard, const struct cg_key *key, uint64_t now_us)
{
	struct cg_suspect *suspect = g_hash_table_lookup(guard->suspects, key);

	if (suspect && cg_is_outdated(suspect, now_us)) {
		cg_remove(guard, suspect);
		suspect = NULL;
	}
	if (!suspect) {
		suspect = g_new0(struct cg_suspect, 1);
		suspect->key = *key;
		suspect->link.data = suspect;
		g_queue_push_tail_link(&guard->order, &suspect->link);
		g_hash_table_insert(guard->suspects, &suspect->key, suspect);
	}
	cg_touch(guard, suspect, now_us);
	return suspect;
}

static struct cg_answer *cg_answer_place(const struct cg_guard *guard,
					 const struct cg_key *key)
{
	return &guard->answers[cg_hash_key(key) & (CG_ANSWERS - 1)];
}

bool cg_was_answered(const struct cg_guard *guard, const struct cg_key *key,
		     uint64_t now_us)
{
	const struct cg_answer *answer = cg_answer_place(guard, key);

	return answer->at_us && now_us < answer->at_us + CG_ANSWER_MEMORY_US &&
	       cg_same_key(&answer->key, key);
}

void cg_add_answer(struct cg_guard *guard, const struct cg_key *key,
		   uint64_t now_us)
{
	struct cg_suspect *suspect = g_hash_table_lookup(guard->suspects, key);

	*cg_answer_place(guard, key) = (struct cg_answer){ *key, now_us };
	if (suspect)
		cg_remove(guard, suspect);
}

static bool cg_is_blocked(const struct cg_suspect *suspect, uint64_t now_us)
{
	return now_us < suspect->blocked_until_us;
}

/* A server counts once, by whichever host reports it. */
static bool cg_add_server(struct cg_suspect *suspect, uint64_t server)
{
	for (uint32_t i = 0; i < suspect->crashes; i++)
		if (suspect->servers[i] == server)
			return false;
	suspect->servers[suspect->crashes++] = server;
	return true;
}

bool cg_add_crash(struct cg_guard *guard, const struct cg_key *key,
		  uint64_t server, uint64_t now_us)
{
	struct cg_suspect *suspect;

	if (cg_was_answered(guard, key, now_us))
		return false;
	suspect = cg_get_or_add(guard, key, now_us);
	if (cg_is_blocked(suspect, now_us) || !cg_add_server(suspect, server) ||
	    suspect->crashes < CG_CRASHES_TO_BLOCK)
		return false;
	suspect->block_us = suspect->block_us ? MIN(2 * suspect->block_us,
						    (uint64_t)CG_MAX_BLOCK_US) :
						(uint64_t)CG_FIRST_BLOCK_US;
	suspect->blocked_until_us = now_us + suspect->block_us;
	/* One more crash after the block is enough to renew it. */
	suspect->crashes = CG_CRASHES_TO_BLOCK - 1;
	return true;
}

bool cg_add_block(struct cg_guard *guard, const struct cg_key *key,
		  uint64_t left_us, uint64_t now_us)
{
	struct cg_suspect *suspect;
	bool before;

	left_us = MIN(left_us, (uint64_t)CG_MAX_BLOCK_US);
	if (!left_us || cg_was_answered(guard, key, now_us))
		return false;
	suspect = cg_get_or_add(guard, key, now_us);
	before = cg_is_blocked(suspect, now_us);
	suspect->block_us = MAX(suspect->block_us, left_us);
	suspect->blocked_until_us =
		MAX(suspect->blocked_until_us, now_us + left_us);
	suspect->crashes = CG_CRASHES_TO_BLOCK - 1;
	return !before;
}

uint64_t cg_blocked_us(const struct cg_guard *guard, const struct cg_key *key,
		       uint64_t now_us)
{
	const struct cg_suspect *suspect =
		g_hash_table_lookup(guard->suspects, key);

	if (!suspect || !cg_is_blocked(suspect, now_us))
		return 0;
	return suspect->blocked_until_us - now_us;
}

uint32_t cg_get_servers(const struct cg_guard *guard, const struct cg_key *key,
			uint64_t servers[CG_CRASHES_TO_BLOCK])
{
	const struct cg_suspect *suspect =
		g_hash_table_lookup(guard->suspects, key);

	if (!suspect)
		return 0;
	memcpy(servers, suspect->servers, sizeof(suspect->servers));
	return suspect->crashes;
}

bool cg_has_suspects(const struct cg_guard *guard)
{
	return guard->order.length > 0;
}

void cg_for_each_block(const struct cg_guard *guard, uint64_t now_us,
		       void (*visit)(void *ctx, const struct cg_key *key,
				     uint64_t left_us),
		       void *ctx)
{
	for (const GList *l = guard->order.head; l; l = l->next) {
		const struct cg_suspect *suspect = l->data;

		if (cg_is_blocked(suspect, now_us))
			visit(ctx, &suspect->key,
			      suspect->blocked_until_us - now_us);
	}
}

void cg_key_to_text(const struct cg_key *key, char text[CG_KEY_TEXT_BYTES])
{
	for (uint32_t i = 0; i < CG_KEY_BYTES; i++)
		g_snprintf(text + 2 * i, 3, "%02x", key->bytes[i]);
}

bool cg_key_from_text(const char *text, struct cg_key *key)
{
	if (!text || strlen(text) != CG_KEY_TEXT_BYTES - 1)
		return false;
	for (uint32_t i = 0; i < CG_KEY_BYTES; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		key->bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}
