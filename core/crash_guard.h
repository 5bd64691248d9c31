#ifndef CORE_CRASH_GUARD_H
#define CORE_CRASH_GUARD_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/*
 * Requests that crash the servers that run them (queries of death). Their callers
 * send them again, under new ids and through other hosts, and each try ends one
 * more server. A request is recognised by its content, and blocked when
 * CG_CRASHES_TO_BLOCK servers have crashed under it.
 *
 * A server that crashes takes many requests with it, most of them sound, so one
 * crash proves nothing. A sound request soon has a good answer from another
 * server, which clears it; one that had a good answer lately is not suspected.
 *
 * A block ends by itself. The next crash under the request then renews it, for
 * twice as long.
 */
enum {
	CG_KEY_BYTES = 16,
	CG_CRASHES_TO_BLOCK = 3,
	CG_MEMORY_US = 60 * 1000 * 1000 /* of a crash */
};

/* Digest of what stays the same whenever a request is sent again. */
struct cg_key {
	uint8_t bytes[CG_KEY_BYTES];
};

struct cg_guard {
	GHashTable *suspects; /* struct cg_suspect by key */
	GQueue order; /* of these, the least recently changed first */
	struct cg_answer *answers; /* good ones, by a part of the key */
};

/*
 * cg_init, cg_free - on memory of the caller. Source: core/crash_guard.c
 *
 * cg_add_crash - SERVER, a hash that differs for each start of a server, crashed
 *	while it ran the request. Returns true if this blocks the request.
 * cg_add_answer - the request had a good answer.
 * cg_was_answered - it had one lately, so it is not suspected.
 * cg_add_block - another host has blocked the request for LEFT_US more. Returns
 *	true if this host blocks it now and did not before.
 * cg_blocked_us - for how long the request is still blocked; 0: it is not.
 * cg_get_servers - copies the servers that crashed under the request and count for
 *	the next block; returns their number.
 * cg_has_suspects - whether any request is suspected or blocked.
 * cg_for_each_block - call VISIT for each of them.
 */
void cg_init(struct cg_guard *guard);
void cg_free(struct cg_guard *guard);
bool cg_add_crash(struct cg_guard *guard, const struct cg_key *key,
		  uint64_t server, uint64_t now_us);
void cg_add_answer(struct cg_guard *guard, const struct cg_key *key,
		   uint64_t now_us);
bool cg_was_answered(const struct cg_guard *guard, const struct cg_key *key,
		     uint64_t now_us);
bool cg_add_block(struct cg_guard *guard, const struct cg_key *key,
		  uint64_t left_us, uint64_t now_us);
uint64_t cg_blocked_us(const struct cg_guard *guard, const struct cg_key *key,
		       uint64_t now_us);
uint32_t cg_get_servers(const struct cg_guard *guard, const struct cg_key *key,
			uint64_t servers[CG_CRASHES_TO_BLOCK]);
bool cg_has_suspects(const struct cg_guard *guard);
void cg_for_each_block(const struct cg_guard *guard, uint64_t now_us,
		       void (*visit)(void *ctx, const struct cg_key *key,
				     uint64_t left_us),
		       void *ctx);

/*
 * cg_key_to_text, cg_key_from_text - hexadecimal form, CG_KEY_TEXT_BYTES with the
 *	terminating NUL. False: TEXT, which may be NULL, is no key.
 */
enum { CG_KEY_TEXT_BYTES = 2 * CG_KEY_BYTES + 1 };
void cg_key_to_text(const struct cg_key *key, char text[CG_KEY_TEXT_BYTES]);
bool cg_key_from_text(const char *text, struct cg_key *key);

#endif
