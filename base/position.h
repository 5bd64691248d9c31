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
	uint64_t era; /* 0: not stated, else ps_era_of what the store states */
	uint64_t version;
};

/*
 * ps_era_of - the era for the number STATED that the store names, which may count its
 *	restores from 0. ps_stated_era - the number for an era; 0 also if none is stated.
 */
static inline uint64_t ps_era_of(uint64_t stated)
{
	return stated == UINT64_MAX ? stated : stated + 1;
}

static inline uint64_t ps_stated_era(uint64_t era)
{
	return era ? era - 1 : 0;
}

/* ps_is_later - whether A is a later state than B. */
static inline bool ps_is_later(const struct ps_position *a,
			       const struct ps_position *b)
{
	return a->era > b->era || (a->era == b->era && a->version > b->version);
}

#endif
