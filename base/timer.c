#include "base/timer.h"

#include <string.h>

#include <glib.h>

enum {
	US_PER_MS = 1000,
	/* A callback that is this late shows that the loop was blocked. */
	TM_LATE_US = 10 * 1000
};

static void tm_arm(struct tm_service *timers, uint64_t wait_us);

uint64_t tm_now_us(void)
{
	return uv_hrtime() / 1000;
}

static void tm_place(struct tm_service *timers, uint32_t i, struct tm_sub *sub)
{
	timers->heap[i] = sub;
	sub->slot = i + 1;
}

static void tm_sift_up(struct tm_service *timers, uint32_t i)
{
	struct tm_sub *sub = timers->heap[i];

	while (i) {
		uint32_t parent = (i - 1) / 2;

		if (timers->heap[parent]->at_us <= sub->at_us)
			break;
		tm_place(timers, i, timers->heap[parent]);
		i = parent;
	}
	tm_place(timers, i, sub);
}

static void tm_sift_down(struct tm_service *timers, uint32_t i)
{
	struct tm_sub *sub = timers->heap[i];

	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= timers->count)
			break;
		if (child + 1 < timers->count &&
		    timers->heap[child + 1]->at_us < timers->heap[child]->at_us)
			child++;
		if (sub->at_us <= timers->heap[child]->at_us)
			break;
		tm_place(timers, i, timers->heap[child]);
		i = child;
	}
	tm_place(timers, i, sub);
}

static void tm_remove(struct tm_service *timers, struct tm_sub *sub)
{
	uint32_t i = sub->slot - 1;
	struct tm_sub *last = timers->heap[--timers->count];

	sub->slot = 0;
	if (last == sub)
		return;
	tm_place(timers, i, last);
	tm_sift_up(timers, i);
	tm_sift_down(timers, last->slot - 1);
}

/* Whether the callback is put off until libuv, which calls timers first, has read. */
static bool tm_wait_for_reads(struct tm_service *timers, struct tm_sub *sub,
			      uint64_t now_us)
{
	if (!sub->reads_first || sub->has_waited ||
	    now_us < sub->at_us + TM_LATE_US)
		return false;
	tm_subscribe(timers, sub, now_us + US_PER_MS);
	sub->has_waited = true;
	return true;
}

static void tm_fire(uv_timer_t *handle)
{
	struct tm_service *timers = handle->data;
	uint64_t now_us = tm_now_us();
	uint64_t wait_us = 0;

	while (timers->count && timers->heap[0]->at_us <= now_us) {
		struct tm_sub *sub = timers->heap[0];

		tm_remove(timers, sub);
		if (tm_wait_for_reads(timers, sub, now_us))
			wait_us = US_PER_MS;
		else
			sub->fire(sub->ctx);
	}
	tm_arm(timers, wait_us);
}

/* libuv reads before it calls a timer that has a millisecond or more to wait. */
static void tm_arm(struct tm_service *timers, uint64_t wait_us)
{
	uint64_t now_us = tm_now_us();

	if (!timers->count) {
		uv_timer_stop(&timers->handle);
		return;
	}
	if (timers->heap[0]->at_us > now_us)
		wait_us = MAX(wait_us, timers->heap[0]->at_us - now_us);
	uv_update_time(timers->loop);
	uv_timer_start(&timers->handle, tm_fire,
		       (wait_us + US_PER_MS - 1) / US_PER_MS, 0);
}

void tm_init(struct tm_service *timers, uv_loop_t *loop)
{
	memset(timers, 0, sizeof(*timers));
	timers->loop = loop;
	uv_timer_init(loop, &timers->handle);
	timers->handle.data = timers;
}

void tm_free(struct tm_service *timers)
{
	while (timers->count)
		tm_remove(timers, timers->heap[0]);
	g_free(timers->heap);
	timers->heap = NULL;
	timers->capacity = 0;
	uv_close((uv_handle_t *)&timers->handle, NULL);
}

void tm_subscribe(struct tm_service *timers, struct tm_sub *sub, uint64_t at_us)
{
	tm_cancel(timers, sub);
	if (timers->count == timers->capacity) {
		timers->capacity = timers->capacity ? timers->capacity * 2 : 64;
		timers->heap = g_renew(struct tm_sub *, timers->heap,
				       timers->capacity);
	}
	sub->at_us = at_us;
	sub->has_waited = false;
	timers->heap[timers->count++] = sub;
	tm_sift_up(timers, timers->count - 1);
	if (sub->slot == 1)
		tm_arm(timers, 0);
}

void tm_cancel(struct tm_service *timers, struct tm_sub *sub)
{
	if (sub->slot)
		tm_remove(timers, sub);
}
