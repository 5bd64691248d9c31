#ifndef KHASH_H
#define KHASH_H

#include <stddef.h>

/*
 * What h2o/http2_internal.h takes from klib's khash.h, which the package of h2o does not
 * install. The table of a connection's streams is a pointer here; nothing may look into
 * it.
 */

#define khash_t(name)			 struct kh_##name##_s
#define KHASH_MAP_INIT_INT64(name, type) khash_t(name);

typedef unsigned khiter_t;

#define kh_get(name, table, key) ((khiter_t)0)
#define kh_end(table)		 ((khiter_t)0)
#define kh_val(table, at)	 NULL

#endif
