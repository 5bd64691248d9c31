#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/*
 * One-shot timers, kept in a binary heap on a single libuv timer. Each module
 * owns the memory of its subscriptions. Callbacks run with libuv's resolution
 * of one millisecond and never early.
 */
struct tm_sub {
	uint64_t at_us; /* on the clock of tm_now_us */
	/*
	 * For timeouts: if the loop was blocked and the callback is late, what came
	 * meanwhile is read first, and may cancel it.
	 */
	bool reads_first;
	bool has_waited; /* for these reads */
	uint32_t slot; /* index in the heap plus one; 0: not scheduled */
	void (*fire)(void *ctx);
	void *ctx;
};

struct tm_service {
	uv_loop_t *loop;
	uv_timer_t handle;
	struct tm_sub **heap;
	uint32_t count;
	uint32_t capacity;
};

/*
 * tm_init - set up the timers in memory of the calling module.
 * tm_free - cancel all subscriptions and close the libuv handle. The loop must
 *	run once more before the memory is freed. Source: base/timer.c
 */
void tm_init(struct tm_service *timers, uv_loop_t *loop);
void tm_free(struct tm_service *timers);

/* tm_now_us - monotonic clock in microseconds. */
uint64_t tm_now_us(void);

/*
 * tm_subscribe - schedule SUB's callback once at AT_US, or as soon as possible
 * after that. If SUB is already scheduled, its time is replaced.
 */
void tm_subscribe(struct tm_service *timers, struct tm_sub *sub,
		  uint64_t at_us);

/* tm_cancel - remove SUB if it is scheduled. */
void tm_cancel(struct tm_service *timers, struct tm_sub *sub);

#endif
