#ifndef DOCUMENT_CUSTOMER_H
#define DOCUMENT_CUSTOMER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/*
 * Customers: organisations whose callers identify themselves by API keys. A table
 * of customers is shared by all documents that are built from one configuration,
 * so that a change of the servers does not copy it.
 */
struct doc_customer {
	char *name; /* of base/text.h */
	char **keys;
	uint32_t key_count;
	bool has_priority; /* PRIORITY replaces that of the route */
	uint32_t priority; /* 0 is the highest */
	/* Quota of all entry hosts together; RATE_MILLI 0: none. */
	uint32_t rate_milli; /* requests in 1000 s */
	uint32_t burst_milli; /* thousandths of a request */
};

struct doc_customers {
	uint32_t refs;
	struct doc_customer *rows;
	uint32_t count;
	GHashTable *by_key; /* index + 1 of the customer */
};

/*
 * doc_customers_new - COUNT cleared rows, with one reference.
 * doc_customers_add_key - add KEY to the customer at INDEX. Returns false, and
 *	adds nothing, if a customer holds it already.
 * doc_customers_ref, doc_customers_unref - NULL is allowed.
 * doc_customers_find - index of the customer that holds the key, or DOC_NO_INDEX.
 * doc_customers_find_name - index of the customer of that name, or DOC_NO_INDEX.
 *	Takes time by the number of customers.
 * doc_key_digest - a short digest, which stands for a key where it must not be
 *	shown.
 * Source: document/customer.c
 */
enum { DOC_KEY_DIGEST_BYTES = 13 };

void doc_key_digest(const char *key, char digest[DOC_KEY_DIGEST_BYTES]);
struct doc_customers *doc_customers_new(uint32_t count);
bool doc_customers_add_key(struct doc_customers *customers, uint32_t index,
			   const char *key);
struct doc_customers *doc_customers_ref(struct doc_customers *customers);
void doc_customers_unref(struct doc_customers *customers);
uint32_t doc_customers_find(const struct doc_customers *customers,
			    const char *key, size_t key_bytes);
uint32_t doc_customers_find_name(const struct doc_customers *customers,
				 const char *name, size_t name_bytes);

#endif
