#include "control/control.h"

#include <string.h>

#include "control/accept.h"
#include "control/state.h"
#include "base/log.h"
#include "base/mechanism.h"
#include "peer/peer.h"

enum {
	/* Limits the reads of all hosts together to about ten a second. */
	CP_POLL_US_PER_HOST = 100 * 1000,
	CP_MIN_POLL_US = 250 * 1000,
	CP_POLL_JITTER_PERCENT = 10,
	CP_FETCH_BACKOFF_US = 100 * 1000,
	CP_MAX_FETCH_BACKOFF_US = 3 * 1000 * 1000,
	/*
	 * After this many failed fetches a lower generation may become the
	 * target again, because a peer may have reported a document that does
	 * not exist.
	 */
	CP_FALLBACK_FAILURES = 6,
	CP_PEER_MAX_AGE_US = 10 * 1000 * 1000
};

static void cp_read_row(struct cp_control *control);

static bool cp_apply_body(struct cp_control *control,
			  const struct cp_doc_id *id, const char *body,
			  size_t body_bytes)
{
	struct doc_document *document = cp_parse_body(id, body, body_bytes);

	if (!document)
		return false;
	cp_put_in_force(control, document);
	return true;
}

static bool cp_is_same_doc(const struct cp_doc_id *a, const struct cp_doc_id *b)
{
	return a->generation == b->generation && !strcmp(a->digest, b->digest);
}

static bool cp_target_is_missing(const struct cp_control *control)
{
	return control->target.generation &&
	       cp_may_replace(control, control->target.generation);
}

static void cp_on_body(void *ctx, const struct pf_result *result);

static void cp_fetch_target(struct cp_control *control)
{
	struct pf_callback callback = { cp_on_body, control };

	if (control->fetching || !cp_target_is_missing(control))
		return;
	tm_cancel(control->timers, &control->refetch_timer);
	control->fetching = true;
	control->fetch_id = control->target;
	pf_get_object(control->platform, control->fetch_id.digest, &callback);
}

static void cp_on_refetch(void *ctx)
{
	cp_fetch_target(ctx);
}

static void cp_on_body(void *ctx, const struct pf_result *result)
{
	struct cp_control *control = ctx;
	bool applied = result->status.kind == ST_OK;
	uint64_t delay_us;

	control->fetching = false;
	if (applied)
		applied = cp_apply_body(control, &control->fetch_id,
					result->body, result->body_bytes);
	if (applied || !cp_is_same_doc(&control->fetch_id, &control->target)) {
		control->fetch_failures = 0;
		cp_fetch_target(control);
		return;
	}
	delay_us = cp_backoff_us(control->random, control->fetch_failures,
				 CP_FETCH_BACKOFF_US, CP_MAX_FETCH_BACKOFF_US);
	control->fetch_failures++;
	tm_subscribe(control->timers, &control->refetch_timer,
		     tm_now_us() + delay_us);
}

/*
 * Whether the document ID should become the target. For the same generation
 * the current row overrides a digest that a peer reported. A lower generation
 * than the target's qualifies after CP_FALLBACK_FAILURES failed fetches.
 */
static bool cp_replaces_target(const struct cp_control *control,
			       const struct cp_doc_id *id, bool from_row)
{
	if (!cp_may_replace(control, id->generation) ||
	    cp_is_same_doc(id, &control->target))
		return false;
	if (id->generation > control->target.generation)
		return true;
	if (id->generation == control->target.generation)
		return from_row;
	return control->fetch_failures >= CP_FALLBACK_FAILURES ||
	       !me_on(ME_GENERATION_ORDER);
}

static void cp_set_target(struct cp_control *control,
			  const struct cp_doc_id *id, bool from_row)
{
	if (cp_replaces_target(control, id, from_row)) {
		control->target = *id;
		control->fetch_failures = 0;
		tm_cancel(control->timers, &control->refetch_timer);
	}
	if (!control->refetch_timer.slot)
		cp_fetch_target(control);
}

bool cp_get_missing(const struct cp_control *control, uint64_t *generation,
		    char digest[DOC_DIGEST_BYTES])
{
	if (!cp_target_is_missing(control))
		return false;
	*generation = control->target.generation;
	g_strlcpy(digest, control->target.digest, DOC_DIGEST_BYTES);
	return true;
}

/* The settings may list this host among the seeds; it is not counted. */
static uint32_t cp_count_seed_peers(const struct se_settings *settings)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < settings->seed_count; i++)
		count += strcmp(settings->seeds[i].text,
				settings->peers.text) != 0;
	return count;
}

/*
 * The highest generation that seed peers reported within CP_PEER_MAX_AGE_US.
 * NULL unless more than half of the seed peers did so.
 */
static const struct cp_doc_id *
cp_highest_of_majority(const struct cp_control *control)
{
	const struct cp_doc_id *highest = NULL;
	uint64_t now_us = tm_now_us();
	uint32_t answered = 0;

	for (uint32_t i = 0; i < control->seed_peer_count; i++) {
		const struct cp_seed_peer *peer = &control->seed_peers[i];

		if (!peer->doc_id.generation ||
		    now_us - peer->reported_us > CP_PEER_MAX_AGE_US)
			continue;
		answered++;
		if (!highest || peer->doc_id.generation > highest->generation)
			highest = &peer->doc_id;
	}
	if (answered * 2 <= cp_count_seed_peers(control->settings))
		return NULL;
	return highest;
}

/* Whether the host has no document and has never read the current row. */
static bool cp_is_bootstrapping(const struct cp_control *control)
{
	return !control->document && !control->row_was_read;
}

static void cp_bootstrap_from_peers(struct cp_control *control)
{
	const struct cp_doc_id *highest;

	if (!cp_is_bootstrapping(control) || !control->row_read_failed)
		return;
	highest = cp_highest_of_majority(control);
	if (highest)
		cp_set_target(control, highest, false);
}

static struct cp_seed_peer *cp_find_seed_peer(struct cp_control *control,
					      const char *host)
{
	struct cp_seed_peer *peer;

	for (uint32_t i = 0; i < control->seed_peer_count; i++)
		if (!strcmp(control->seed_peers[i].host, host))
			return &control->seed_peers[i];
	if (control->seed_peer_count == SE_MAX_SEEDS)
		return NULL;
	peer = &control->seed_peers[control->seed_peer_count++];
	memset(peer, 0, sizeof(*peer));
	g_strlcpy(peer->host, host, sizeof(peer->host));
	return peer;
}

static void cp_record_seed_peer(struct cp_control *control, const char *host,
				const struct cp_doc_id *id, uint64_t age_us)
{
	struct cp_seed_peer *peer = cp_find_seed_peer(control, host);
	uint64_t now_us = tm_now_us();
	uint64_t at_us = age_us < now_us ? now_us - age_us : 0;

	if (!peer || at_us < peer->reported_us)
		return;
	peer->doc_id = *id;
	peer->reported_us = at_us;
}

void cp_on_peer_generation(struct cp_control *control, const char *host,
			   uint64_t generation, const char *digest,
			   uint64_t age_us)
{
	struct cp_doc_id id = { .generation = generation };

	if (!strcmp(host, control->settings->host))
		return;
	if (generation && !cp_is_digest(digest)) {
		lg_warn("document", "host %s sent a malformed digest; ignored",
			host);
		return;
	}
	g_strlcpy(id.digest, digest, sizeof(id.digest));
	if (cp_is_bootstrapping(control)) {
		cp_record_seed_peer(control, host, &id, age_us);
		cp_bootstrap_from_peers(control);
	} else if (generation) {
		cp_set_target(control, &id, false);
	}
}

/*
 * Whether the document ID, fetched from a peer, may be put in force. A host
 * without a document must not start with a lower generation than the current
 * row or, if the row cannot be read, a majority of the seed peers reported.
 */
static bool cp_may_apply(const struct cp_control *control,
			 const struct cp_doc_id *id)
{
	const struct cp_doc_id *highest;

	if (!cp_may_replace(control, id->generation))
		return false;
	if (id->generation == control->target.generation &&
	    strcmp(id->digest, control->target.digest) != 0)
		return false;
	if (control->document)
		return true;
	if (control->row_was_read)
		return id->generation >= control->row_generation;
	highest = control->row_read_failed ? cp_highest_of_majority(control) :
					     NULL;
	return highest && id->generation >= highest->generation;
}

bool cp_offer_body(struct cp_control *control, uint64_t generation,
		   const char *digest, const char *body, size_t body_bytes)
{
	struct cp_doc_id id = { .generation = generation };

	if (!cp_is_digest(digest))
		return false;
	g_strlcpy(id.digest, digest, sizeof(id.digest));
	return cp_may_apply(control, &id) &&
	       cp_apply_body(control, &id, body, body_bytes);
}

void cp_set_host_count(struct cp_control *control, uint32_t count)
{
	control->host_count = MAX(count, 1);
}

uint64_t cp_poll_interval_us(const struct cp_control *control)
{
	uint64_t interval_us =
		(uint64_t)control->host_count * CP_POLL_US_PER_HOST;

	return MAX(interval_us, CP_MIN_POLL_US);
}

static void cp_schedule_poll(struct cp_control *control)
{
	double jitter = CP_POLL_JITTER_PERCENT / 100.0;
	double interval_us =
		(double)cp_poll_interval_us(control) *
		g_rand_double_range(control->random, 1 - jitter, 1 + jitter);

	if (me_on(ME_ROW_READING))
		tm_subscribe(control->timers, &control->poll_timer,
			     tm_now_us() + (uint64_t)interval_us);
}

static void cp_on_row(void *ctx, const struct pf_result *result)
{
	struct cp_control *control = ctx;
	struct cp_doc_id id;

	control->row_read_pending = false;
	cp_schedule_poll(control);
	control->row_read_failed = result->status.kind != ST_OK &&
				   result->status.kind != ST_NOT_FOUND;
	if (control->row_read_failed) {
		cp_bootstrap_from_peers(control);
		return;
	}
	if (result->status.kind == ST_NOT_FOUND) {
		control->row_was_read = true;
		return;
	}
	if (!cp_decode_row(result->json, &id)) {
		lg_error("document", "the current row is malformed; ignored");
		return;
	}
	control->row_was_read = true;
	control->row_read_us = tm_now_us();
	if (id.generation >= control->row_generation) {
		control->row_generation = id.generation;
		control->row_era = result->era;
	}
	cp_set_target(control, &id, true);
}

static void cp_read_row(struct cp_control *control)
{
	struct pf_callback callback = { cp_on_row, control };

	if (control->row_read_pending)
		return;
	control->row_read_pending = true;
	pf_get_row(control->platform, "document", "current", &callback);
}

static void cp_on_poll(void *ctx)
{
	cp_read_row(ctx);
}

static void cp_on_message(void *ctx, const struct kn_msg *msg)
{
	struct cp_control *control = ctx;
	const struct kn_msg_generation *peer = (const void *)msg;
	const struct kn_msg_hosts *hosts = (const void *)msg;

	if (msg->kind == KN_GENERATION)
		cp_on_peer_generation(control, peer->host, peer->generation,
				      peer->digest, 0);
	else if (msg->kind == KN_HOSTS)
		cp_set_host_count(control, hosts->hosts->count);
}

enum st_kind cp_init(struct cp_control *control, struct kn_kernel *kernel,
		     struct tm_service *timers, struct pf_client *platform,
		     const struct se_settings *settings,
		     struct st_status *status)
{
	memset(control, 0, sizeof(*control));
	control->kernel = kernel;
	control->timers = timers;
	control->platform = platform;
	control->settings = settings;
	control->task.name = "control";
	control->task.handle = cp_on_message;
	control->task.ctx = control;
	control->poll_timer.fire = cp_on_poll;
	control->poll_timer.ctx = control;
	control->refetch_timer.fire = cp_on_refetch;
	control->refetch_timer.ctx = control;
	control->random =
		settings->random_seed ?
			g_rand_new_with_seed((guint32)settings->random_seed) :
			g_rand_new();
	cp_set_host_count(control, settings->seed_count);
	cp_read_row(control);
	return kn_register(kernel, &control->task, status);
}

void cp_free(struct cp_control *control)
{
	tm_cancel(control->timers, &control->poll_timer);
	tm_cancel(control->timers, &control->refetch_timer);
	cp_end_submissions(control);
	doc_unref(control->document);
	control->document = NULL;
	g_rand_free(control->random);
}
