#include "core/state.h"

/* Token buckets, which count in millionths of a token. */
enum {
	CORE_BURST_DIVISOR = 4, /* a burst may use a quarter of a second */
	CORE_MAX_REFILL_US = 10 * CORE_US_PER_S
};

#define CORE_MAX_SLOW_REFILL_US ((UINT64_C(1) << 40) - 1)

void core_bucket_configure(struct core_bucket *bucket, uint64_t per_s,
			   uint64_t unit, uint64_t now_us)
{
	unit *= CORE_TOKEN_SCALE;
	bucket->depth = (int64_t)MAX(per_s / CORE_BURST_DIVISOR, unit);
	bucket->rate_per_s =
		per_s < 2 * unit ? per_s : per_s - (uint64_t)bucket->depth;
	if (!bucket->refilled_us)
		bucket->refilled_us = now_us;
	bucket->tokens = MIN(bucket->tokens, bucket->depth);
}

void core_bucket_set(struct core_bucket *bucket, uint64_t per_s, uint64_t depth,
		     uint64_t now_us)
{
	bucket->tokens = MIN(core_bucket_level(bucket, now_us), (int64_t)depth);
	bucket->refilled_us = now_us;
	bucket->rate_per_s = per_s;
	bucket->depth = (int64_t)depth;
}

/*
 * Products and sums cannot overflow: rate < 2^50 and age < 2^24, or rate < 2^20
 * and age < 2^40. A rate below one token a second needs more than the shorter
 * time to fill the bucket.
 */
int64_t core_bucket_level(const struct core_bucket *bucket, uint64_t now_us)
{
	uint64_t age_us = now_us - bucket->refilled_us;
	uint64_t gain;

	if (bucket->rate_per_s < CORE_TOKEN_SCALE)
		gain = bucket->rate_per_s *
		       MIN(age_us, CORE_MAX_SLOW_REFILL_US) / CORE_US_PER_S;
	else
		gain = bucket->rate_per_s / CORE_US_PER_MS *
		       MIN(age_us, CORE_MAX_REFILL_US) / CORE_US_PER_MS;
	return MIN(bucket->tokens + (int64_t)gain, bucket->depth);
}

bool core_bucket_covers(struct core_bucket *bucket, uint64_t now_us,
			uint64_t amount)
{
	bucket->tokens = core_bucket_level(bucket, now_us);
	bucket->refilled_us = now_us;
	return bucket->tokens >= (int64_t)amount * CORE_TOKEN_SCALE;
}

void core_bucket_spend(struct core_bucket *bucket, uint64_t amount)
{
	bucket->tokens -= (int64_t)amount * CORE_TOKEN_SCALE;
}

void core_bucket_refund(struct core_bucket *bucket, int64_t amount)
{
	bucket->tokens =
		MIN(bucket->tokens + amount * CORE_TOKEN_SCALE, bucket->depth);
}
