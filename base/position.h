#ifndef BASE_POSITION_H
#define BASE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A state of the platform's store. The version rises with each transaction. When the
 * store comes back from a copy, the era rises, and versions above that of the copy are
 * given out again.
 */
struct ps_position {
	uint64_t era; /* 0: not stated */
	uint64_t version;
};

/* ps_is_later - whether A is a later state than B. */
static inline bool ps_is_later(const struct ps_position *a,
			       const struct ps_position *b)
{
	return a->era > b->era || (a->era == b->era && a->version > b->version);
}

#endif
