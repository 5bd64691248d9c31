#include "gateway/forward.h"

#include <string.h>

#include "base/counter.h"

/*
 * Customers of calls, by their keys (docs/design/customers.md). Without a list of
 * customers in the document in force, no call is checked or changed.
 */

#define GW_KEY_HEADER "authorization"
#define GW_KEY_SCHEME "Bearer "

enum gw_key_fault {
	GW_KEY_OK,
	GW_KEY_MISSING,
	GW_KEY_MALFORMED,
	GW_KEY_UNKNOWN,
	GW_KEY_UNCONFIRMED
};

static const struct {
	enum ct_id counter;
	enum st_kind kind;
	const char *msg;
} gw_key_faults[] = {
	[GW_KEY_MISSING] = { CT_KEY_MISSING, ST_UNAUTHORIZED,
			     "the request has no key" },
	[GW_KEY_MALFORMED] = { CT_KEY_MALFORMED, ST_UNAUTHORIZED,
			       "the key is malformed or repeated" },
	[GW_KEY_UNKNOWN] = { CT_KEY_UNKNOWN, ST_UNAUTHORIZED,
			     "no customer has the key" },
	[GW_KEY_UNCONFIRMED] = { CT_KEY_UNCONFIRMED, ST_NOT_READY,
				 "the keys have not been confirmed lately" },
};

/*
 * Whether a server may take HEADER for NAME: many map all characters but letters
 * and digits to the same one.
 */
static bool gw_is_spelling_of(const char *name, const char *header,
			      size_t bytes)
{
	if (!name || strlen(name) != bytes)
		return false;
	for (size_t i = 0; i < bytes; i++)
		if (g_ascii_isalnum(name[i]) ?
			    g_ascii_tolower(name[i]) !=
				    g_ascii_tolower(header[i]) :
			    g_ascii_isalnum(header[i]))
			return false;
	return true;
}

bool gw_is_customer_header(const struct gw_gateway *gateway, const char *name,
			   size_t bytes)
{
	return gateway->document->customers &&
	       (gw_is_spelling_of(GW_KEY_HEADER, name, bytes) ||
		gw_is_spelling_of(gateway->dialect->customer, name, bytes));
}

/* Keys have no spaces and no control characters. */
static bool gw_is_key(h2o_iovec_t text)
{
	for (size_t i = 0; i < text.len; i++)
		if (text.base[i] == ' ' || g_ascii_iscntrl(text.base[i]))
			return false;
	return text.len > 0;
}

static bool gw_parse_key(h2o_iovec_t value, h2o_iovec_t *key)
{
	size_t at = strlen(GW_KEY_SCHEME);

	if (value.len < at ||
	    g_ascii_strncasecmp(value.base, GW_KEY_SCHEME, at) != 0)
		return false;
	while (at < value.len && value.base[at] == ' ')
		at++;
	*key = h2o_iovec_init(value.base + at, value.len - at);
	return gw_is_key(*key);
}

static enum gw_key_fault gw_read_key(const h2o_req_t *req, h2o_iovec_t *key)
{
	h2o_iovec_t value = { 0 };
	uint32_t count = 0;

	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		if (h->name->len != strlen(GW_KEY_HEADER) ||
		    g_ascii_strncasecmp(h->name->base, GW_KEY_HEADER,
					h->name->len) != 0)
			continue;
		value = h->value;
		count++;
	}
	if (!count)
		return GW_KEY_MISSING;
	return count == 1 && gw_parse_key(value, key) ? GW_KEY_OK :
							GW_KEY_MALFORMED;
}

/* Whether the keys were not confirmed for longer than the settings allow. */
static bool gw_keys_are_old(const struct gw_gateway *gateway)
{
	uint64_t limit_us = gateway->settings->key_limit_ms * GW_US_PER_MS;

	return limit_us && gateway->get_confirmed_us &&
	       tm_now_us() > gateway->get_confirmed_us(gateway->confirmed_ctx) +
				     limit_us;
}

/*
 * The host that forwards a call has checked its key and names the customer. One
 * whose document has no customers passes the key on as the caller sent it.
 */
static enum gw_key_fault gw_find_customer(const struct gw_gateway *gateway,
					  h2o_req_t *req, bool from_host,
					  struct gw_identity *identity)
{
	const struct doc_customers *customers = gateway->document->customers;
	h2o_iovec_t name = { 0 };
	enum gw_key_fault fault;

	if (gw_keys_are_old(gateway))
		return GW_KEY_UNCONFIRMED;
	if (from_host)
		name = hd_header(req, GW_CUSTOMER);
	if (name.base) {
		identity->index =
			doc_customers_find_name(customers, name.base, name.len);
	} else {
		fault = gw_read_key(req, &identity->key);
		if (fault)
			return fault;
		identity->index = doc_customers_find(
			customers, identity->key.base, identity->key.len);
	}
	return identity->index == DOC_NO_INDEX ? GW_KEY_UNKNOWN : GW_KEY_OK;
}

bool gw_identify_customer(struct gw_gateway *gateway, h2o_req_t *req,
			  bool is_public, bool from_host,
			  struct gw_identity *identity)
{
	enum gw_key_fault fault;

	memset(identity, 0, sizeof(*identity));
	identity->index = DOC_NO_INDEX;
	if (!gateway->document->customers || is_public)
		return true;
	fault = gw_find_customer(gateway, req, from_host, identity);
	if (!fault)
		return true;
	ct_add(gw_key_faults[fault].counter, 1);
	/* Another host may have confirmed keys. */
	if (from_host && fault == GW_KEY_UNCONFIRMED)
		gw_add_unable(req);
	gw_refuse_request(gateway, req, gw_key_faults[fault].kind,
			  gw_key_faults[fault].msg);
	return false;
}

/* The call belongs to the customer at INDEX of the document in force. */
static void gw_assign_customer(struct gw_call *call, uint32_t index)
{
	struct doc_customers *customers = call->gateway->document->customers;

	doc_customers_ref(customers);
	doc_customers_unref(call->customers);
	call->customers = customers;
	tx_unref(call->customer);
	call->customer = tx_ref(customers->rows[index].name);
	call->customer_index = index;
}

void gw_set_customer(struct gw_call *call, const struct gw_identity *identity)
{
	if (identity->index == DOC_NO_INDEX)
		return;
	gw_assign_customer(call, identity->index);
	if (identity->key.base)
		call->api_key =
			g_strndup(identity->key.base, identity->key.len);
}

void gw_clear_customer(struct gw_call *call)
{
	doc_customers_unref(call->customers);
	tx_unref(call->customer);
	g_free(call->api_key);
}

void gw_set_priority(struct gw_call *call, const struct doc_route *route)
{
	const struct doc_customer *customer =
		call->customer ? &call->customers->rows[call->customer_index] :
				 NULL;

	call->caller_index = route->priority;
	if (!customer || !customer->has_priority)
		return;
	call->caller_index = customer->priority;
	call->work_class = route->priority + 1;
}

h2o_iovec_t gw_caller_name(const struct gw_call *call)
{
	h2o_iovec_t given;

	if (call->customer)
		return h2o_iovec_init(call->customer, strlen(call->customer));
	given = hd_header(call->req, "x-caller");
	return given.base ? given : h2o_iovec_init("", 0);
}

bool gw_has_lost_key(struct gw_call *call)
{
	const struct doc_customers *customers =
		call->gateway->document->customers;
	uint32_t index;

	if (call->key_removed)
		return true;
	if (!call->customer || !customers || customers == call->customers)
		return false;
	index = call->api_key ?
			doc_customers_find(customers, call->api_key,
					   strlen(call->api_key)) :
			doc_customers_find_name(customers, call->customer,
						strlen(call->customer));
	call->key_removed = index == DOC_NO_INDEX;
	if (call->key_removed)
		ct_add(CT_KEY_REMOVED, 1);
	else
		gw_assign_customer(call, index);
	return call->key_removed;
}

static bool gw_has_open_attempt(const struct gw_call *call)
{
	for (uint32_t i = 0; i < call->attempt_count; i++)
		if (!call->attempts[i].end_us)
			return true;
	return false;
}

void gw_end_revoked_calls(struct gw_gateway *gateway)
{
	GList *calls = g_hash_table_get_values(gateway->calls);

	for (GList *l = calls; l; l = l->next) {
		struct gw_call *call = l->data;

		if (!gw_has_open_attempt(call) && gw_has_lost_key(call))
			gw_expire_call(call);
	}
	g_list_free(calls);
}
