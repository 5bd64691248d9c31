#include "document/document.h"

/*
 * Warnings about a document. Its text is parsed once more for the lines: the list
 * of a document and that of its text have the same order.
 */

/* Below one request in 5 s, the window in which a quota is stated. */
enum { DOC_LEAST_RATE_MILLI = 200 };

struct doc_warner {
	const struct doc_document *document;
	struct ym_node *root;
	struct ym_errors *warnings;
};

static struct ym_node *doc_entry(const struct doc_warner *warner,
				 const char *list, uint32_t index)
{
	return g_ptr_array_index(ym_get(warner->root, list)->children, index);
}

static void doc_warn_customer(const struct doc_warner *warner, uint32_t index)
{
	const struct doc_customer *customer =
		&warner->document->customers->rows[index];
	struct ym_node *map = doc_entry(warner, "customers", index);

	if (!customer->key_count)
		ym_error(warner->warnings, map, "keys",
			 "customer \"%s\" has no key", customer->name);
	if (customer->rate_milli && customer->rate_milli < DOC_LEAST_RATE_MILLI)
		ym_error(warner->warnings,
			 ym_get(ym_get(map, "quota"), "requests_per_s"),
			 "requests_per_s",
			 "customer \"%s\" has less than one request in 5 s",
			 customer->name);
}

static bool doc_is_evacuated(const struct doc_document *document,
			     const struct doc_service *service)
{
	if (!document->zone_evacuated)
		return false;
	for (uint32_t i = 0; i < service->server_count; i++)
		if (!document->zone_evacuated[service->servers[i].zone] &&
		    !service->servers[i].leaving)
			return false;
	return true;
}

static void doc_warn_service(const struct doc_warner *warner, uint32_t index)
{
	const struct doc_service *service = &warner->document->services[index];
	struct ym_node *map = doc_entry(warner, "services", index);

	if (doc_is_evacuated(warner->document, service))
		ym_error(warner->warnings, ym_get(map, "servers"), "servers",
			 "service \"%s\" has no server that stays and is "
			 "outside of the evacuated zones",
			 service->name);
	if (service->is_public && !warner->document->customers)
		ym_error(warner->warnings, ym_get(map, "public"), "public",
			 "has no effect without customers");
}

/* Whether calls of some service have no customer, but what they call themselves. */
static bool doc_has_public_service(const struct doc_document *document)
{
	for (uint32_t i = 0; i < document->service_count; i++)
		if (document->services[i].is_public)
			return true;
	return false;
}

static void doc_warn_callers(const struct doc_warner *warner)
{
	const struct doc_document *document = warner->document;
	GHashTable *names;

	if (!document->customers || doc_has_public_service(document))
		return;
	names = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < document->customers->count; i++)
		g_hash_table_add(names, document->customers->rows[i].name);
	for (uint32_t i = 0; i < document->caller_count; i++)
		if (!g_hash_table_contains(names, document->callers[i].name))
			ym_error(warner->warnings,
				 doc_entry(warner, "callers", i), "name",
				 "no customer is named \"%s\", so no call has "
				 "this weight",
				 document->callers[i].name);
	g_hash_table_destroy(names);
}

void doc_find_warnings(const struct doc_document *document,
		       struct ym_errors *warnings)
{
	struct doc_warner warner = { document, NULL, warnings };

	warner.root = ym_parse(document->text, document->text_bytes, warnings);
	if (!warner.root)
		return;
	for (uint32_t i = 0;
	     document->customers && i < document->customers->count; i++)
		doc_warn_customer(&warner, i);
	doc_warn_callers(&warner);
	for (uint32_t i = 0; i < document->service_count; i++)
		doc_warn_service(&warner, i);
	ym_free(warner.root);
}
