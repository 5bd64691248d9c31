#ifndef TIMER_H
#define TIMER_H

#include <stdint.h>
#include <uv.h>

/*
 * Timer service. Parts subscribe with memory they own; a subscription fires
 * once. The loop's resolution of one millisecond applies, never early.
 */
struct tm_sub {
	uint64_t at_us;
	uint32_t slot; /* index in the heap plus one, 0 when not subscribed */
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
 * tm_init, tm_free - set up on caller-owned memory. tm_free closes the libuv
 * handle; the loop must run once more before the memory goes away.
 * Source: timer.c
 */
void tm_init(struct tm_service *timers, uv_loop_t *loop);
void tm_free(struct tm_service *timers);

/* tm_now_us - monotonic clock in microseconds. */
uint64_t tm_now_us(void);

/*
 * tm_subscribe - call SUB's callback at AT_US or as soon as possible after.
 * An earlier subscription of SUB is replaced.
 */
void tm_subscribe(struct tm_service *timers, struct tm_sub *sub,
		  uint64_t at_us);

/* tm_cancel - drop a subscription, if there is one. */
void tm_cancel(struct tm_service *timers, struct tm_sub *sub);

#endif
