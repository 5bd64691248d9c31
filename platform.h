#ifndef PLATFORM_H
#define PLATFORM_H

#include <stdint.h>
#include <jansson.h>
#include <uv.h>

#include "httpc.h"
#include "net.h"
#include "status.h"
#include "timer.h"

/*
 * Client of the platform: transactional table, object store, host list.
 *
 * Every operation ends in one callback. A write whose answer was lost ends
 * with ST_PLATFORM_UNKNOWN: it may have taken effect and must be read back.
 */
struct pf_client {
	struct hc_pool pool;
	struct tm_service *timers;
	uint64_t timeout_us;
	struct pf_operation *operations;
};

/* Result of an operation; valid during the callback only. */
struct pf_result {
	struct st_status status;
	uint64_t version; /* of the row that was read */
	json_t *json; /* value, rows, host list or versions; may be NULL */
	const char *body; /* of an object */
	size_t body_bytes;
};

struct pf_callback {
	void (*done)(void *ctx, const struct pf_result *result);
	void *ctx;
};

enum { PF_MAX_KEY_BYTES = 256 };

/* pf_init, pf_free - pf_free cancels what is outstanding without callbacks. */
void pf_init(struct pf_client *client, uv_loop_t *loop,
	     struct tm_service *timers, const struct nt_address *address);
void pf_free(struct pf_client *client);

/*
 * pf_get - read one row. ST_NOT_FOUND when absent.
 * pf_list - rows with keys after AFTER, at most LIMIT, as a JSON array of
 *	{"key","version","value"}; with REVERSE the last ones first.
 * pf_txn - run a transaction; takes over both arrays. ST_CONFLICT when a
 *	condition failed.
 * Source: platform.c
 */
void pf_get(struct pf_client *client, const char *table, const char *key,
	    const struct pf_callback *callback);
void pf_list(struct pf_client *client, const char *table, const char *after,
	     uint32_t limit, bool reverse, const struct pf_callback *callback);
void pf_txn(struct pf_client *client, json_t *conditions, json_t *writes,
	    const struct pf_callback *callback);

/* pf_condition, pf_write - append to the arrays of a transaction. */
void pf_condition(json_t *conditions, const char *table, const char *key,
		  uint64_t version);
void pf_write(json_t *writes, const char *table, const char *key,
	      json_t *value);

void pf_put_object(struct pf_client *client, const char *name, const char *body,
		   size_t body_bytes, const struct pf_callback *callback);
void pf_get_object(struct pf_client *client, const char *name,
		   const struct pf_callback *callback);
/* pf_hosts - list of {"name","address","state"}; it lags. */
void pf_hosts(struct pf_client *client, const struct pf_callback *callback);

#endif
