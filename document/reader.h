#ifndef DOCUMENT_READER_H
#define DOCUMENT_READER_H

#include "document/document.h"

/* Largest number that is read in thousandths: 4 million. */
enum { DOC_MAX_MILLI = 4000000000 };

/*
 * Readers of YAML documents that document/document.c and read_customer.c share.
 * Each adds what is wrong to ERRORS.
 *
 * doc_check_name - of the characters and length that names may have.
 * doc_read_name - a required name, into DOC_NAME_BYTES bytes.
 * doc_read_text - the same as a name of base/text.h.
 * doc_new_name_set - for doc_check_unique; release with g_hash_table_destroy.
 * doc_check_unique - NAME is not in SEEN, to which it is added.
 * doc_check_mapping - the entry of a list is a mapping.
 * doc_get_list - NULL when missing, of another type, or above MAX entries.
 * Source: document/reader.c
 */
void doc_check_name(struct ym_errors *errors, const struct ym_node *at,
		    const char *field, const char *name);
void doc_read_name(struct ym_node *map, const char *field, char *out,
		   struct ym_errors *errors);
void doc_read_text(struct ym_node *map, const char *field, char **out,
		   struct ym_errors *errors);
GHashTable *doc_new_name_set(void);
void doc_check_unique(GHashTable *seen, const char *name, struct ym_node *map,
		      const char *field, struct ym_errors *errors);
bool doc_check_mapping(struct ym_node *node, const char *field,
		       struct ym_errors *errors);
struct ym_node *doc_get_list(struct ym_node *map, const char *field,
			     bool required, uint32_t max,
			     struct ym_errors *errors);

/*
 * doc_read_customers - the list "customers", if there is one, with its keys.
 * Source: document/read_customer.c
 */
void doc_read_customers(struct ym_node *root, struct doc_document *document,
			struct ym_errors *errors);

#endif
