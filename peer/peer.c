#include "peer/task.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/mechanism.h"

/* Platform table of entry hosts and servers. */
#define PR_HOSTS_TABLE "hosts"

enum {
	PR_MAX_LIST_ENTRIES = 65536,
	/* Delay before a body is fetched from a peer, in which control may get
	 * it from the platform. */
	PR_FETCH_DELAY_US = 100 * 1000,
	PR_FETCH_RETRY_US = 500 * 1000,
	/* Each host reads the platform's host list at an interval of this time
	 * multiplied by the number of hosts, so that all hosts together read it
	 * five times a second. */
	PR_LIST_INTERVAL_PER_HOST_US = 200 * 1000,
	PR_LIST_MIN_INTERVAL_US = 1000 * 1000,
	PR_JITTER_PERCENT = 25,
	PR_MAX_LOGGED_HOSTS = 32,
	PR_RECEIVE_BYTES = 2048 /* more than PR_MAX_DATAGRAM_BYTES */
};

static void pr_log_hosts(const struct pr_hosts *hosts)
{
	GString *names = g_string_new(NULL);

	for (uint32_t i = 0; i < MIN(hosts->count, PR_MAX_LOGGED_HOSTS); i++)
		g_string_append_printf(names, " %s%s", hosts->rows[i].name,
				       hosts->rows[i].draining ? " (draining)" :
								 "");
	lg_info("hosts", "%u live:%s%s", hosts->count, names->str,
		hosts->count > PR_MAX_LOGGED_HOSTS ? " ..." : "");
	g_string_free(names, TRUE);
}

static void pr_publish_hosts(struct pr_peer *peer)
{
	struct kn_msg_hosts msg = {
		.msg = { KN_HOSTS, sizeof(msg) },
		.hosts = &peer->hosts,
	};

	if (!pr_gossip_update_hosts(&peer->gossip, &peer->hosts))
		return;
	pr_log_hosts(&peer->hosts);
	kn_broadcast(peer->kernel, &msg.msg);
}

static uint64_t pr_add_jitter(struct pr_peer *peer, uint64_t us)
{
	uint64_t spread = us * PR_JITTER_PERCENT / 100;

	return us - spread / 2 +
	       (uint64_t)(g_rand_double(peer->gossip.random) * (double)spread);
}

static void pr_on_tick(void *ctx)
{
	struct pr_peer *peer = ctx;
	uint64_t now_us = tm_now_us();

	peer->gossip.confirmed_us = peer->control->row_read_us;
	if (peer->gossip.last_tick_us &&
	    now_us - peer->gossip.last_tick_us > PR_PAUSE_US)
		peer->dropping_backlog = true;
	pr_gossip_tick(&peer->gossip, now_us);
	pr_publish_hosts(peer);
	tm_subscribe(peer->timers, &peer->tick, now_us + PR_TICK_US);
}

/* Datagrams */

static void pr_send_datagram(void *ctx, const struct nt_address *to,
			     const char *data, size_t data_bytes)
{
	struct pr_peer *peer = ctx;
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned int)data_bytes);

	/* A datagram that cannot be sent immediately is treated as lost. */
	uv_udp_try_send(&peer->udp, &buf, 1,
			(const struct sockaddr *)&to->addr);
}

static void pr_on_datagram_alloc(uv_handle_t *handle, size_t suggested,
				 uv_buf_t *buf)
{
	static char bytes[PR_RECEIVE_BYTES];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void pr_on_datagram(uv_udp_t *udp, ssize_t bytes, const uv_buf_t *buf,
			   const struct sockaddr *from, unsigned int flags)
{
	struct pr_peer *peer = udp->data;
	uint64_t now_us = tm_now_us();
	struct nt_address address = { 0 };

	if (bytes < 0 || !from) {
		/* The socket has no more datagrams to read. */
		peer->dropping_backlog = false;
		return;
	}
	if (now_us - peer->gossip.last_tick_us > PR_PAUSE_US)
		peer->dropping_backlog = true;
	if (peer->dropping_backlog || flags & UV_UDP_PARTIAL) {
		ct_add(CT_PEER_REJECTED, 1);
		return;
	}
	memcpy(&address.addr, from,
	       from->sa_family == AF_INET6 ? sizeof(struct sockaddr_in6) :
					     sizeof(struct sockaddr_in));
	pr_gossip_receive(&peer->gossip, now_us, &address, buf->base,
			  (size_t)bytes);
	pr_publish_hosts(peer);
}

/* Generations and bodies */

static bool pr_is_seed(const struct pr_peer *peer,
		       const struct nt_address *address)
{
	const struct se_settings *settings = peer->settings;

	for (uint32_t i = 0; i < settings->seed_count; i++)
		if (!memcmp(&settings->seeds[i].addr, &address->addr,
			    sizeof(address->addr)))
			return true;
	return false;
}

static void pr_set_fetch_target(struct pr_peer *peer, const char *host,
				const struct nt_address *address,
				uint64_t generation, const char *digest)
{
	struct pr_fetch_target *target = &peer->fetch_target;

	if (generation < target->generation)
		return;
	target->generation = generation;
	target->address = *address;
	g_strlcpy(target->digest, digest, sizeof(target->digest));
	g_strlcpy(target->host, host, sizeof(target->host));
	if (!peer->fetch_timer.slot)
		tm_subscribe(peer->timers, &peer->fetch_timer,
			     tm_now_us() + PR_FETCH_DELAY_US);
}

static void pr_on_generation(void *ctx, const char *host,
			     const struct nt_address *address,
			     uint64_t generation, const char *digest,
			     uint64_t age_us)
{
	struct pr_peer *peer = ctx;
	struct kn_msg_generation msg = {
		.msg = { KN_GENERATION, sizeof(msg) },
		.generation = generation,
	};

	lg_debug("peer", "host %s has generation %" G_GUINT64_FORMAT, host,
		 generation);
	/* Until a document is in force, control must get only the reports of
	 * seed peers, because it waits for those of a majority of them. */
	if (!peer->gossip.generation && !pr_is_seed(peer, address))
		return;
	if (!peer->gossip.generation)
		cp_on_peer_generation(peer->control, host, generation, digest,
				      0);
	if (generation <= peer->gossip.generation)
		return;
	g_strlcpy(msg.digest, digest, sizeof(msg.digest));
	g_strlcpy(msg.host, host, sizeof(msg.host));
	if (peer->gossip.generation)
		kn_send(peer->kernel, "control", &msg.msg);
	pr_set_fetch_target(peer, host, address, generation, digest);
}

static void pr_schedule_fetch_retry(struct pr_peer *peer)
{
	tm_subscribe(peer->timers, &peer->fetch_timer,
		     tm_now_us() + PR_FETCH_RETRY_US);
}

/* Fetches from a peer if the platform has not delivered the body yet. */
static void pr_on_fetch_timer(void *ctx)
{
	struct pr_peer *peer = ctx;
	struct pr_fetch_target *target = &peer->fetch_target;

	if (target->generation <= peer->gossip.generation)
		return;
	if (!pr_fetch_start(&peer->fetch, target->host, &target->address,
			    target->generation, target->digest))
		pr_schedule_fetch_retry(peer);
}

static void pr_on_fetched(void *ctx, uint64_t generation, const char *digest,
			  const char *body, size_t body_bytes)
{
	struct pr_peer *peer = ctx;

	if (body &&
	    cp_offer_body(peer->control, generation, digest, body, body_bytes))
		lg_debug("fetch",
			 "fetched generation %" G_GUINT64_FORMAT " from %s",
			 generation, peer->fetch.source_host);
	/* The retry fetches the current target, and does nothing if that
	 * generation is in force by then. */
	pr_schedule_fetch_retry(peer);
}

/* Servers and the platform's host list */

static void pr_on_server_state(void *ctx, const char *server, bool leaving)
{
	struct pr_peer *peer = ctx;
	struct kn_msg_server_state msg = {
		.msg = { KN_SERVER_STATE, sizeof(msg) },
		.leaving = leaving,
	};

	g_strlcpy(msg.server, server, sizeof(msg.server));
	kn_send(peer->kernel, "gateway", &msg.msg);
}

/*
 * Whether NAME is an entry host: a member, or a name with the same prefix as
 * this host up to the last hyphen.
 */
static bool pr_is_entry_host_name(const struct pr_peer *peer, const char *name)
{
	const char *self = peer->settings->host;
	const char *hyphen = strrchr(self, '-');

	if (pr_table_find((struct pr_table *)&peer->gossip.table, name))
		return true;
	return hyphen && !strncmp(self, name, (size_t)(hyphen - self) + 1);
}

static void pr_handle_list_entry(struct pr_peer *peer, json_t *entry)
{
	const char *name = "";
	const char *address_text = "";
	const char *peer_text = "";
	const char *state = "";
	struct nt_address address;
	bool leaving;

	if (json_unpack(entry, "{s:s, s?s, s?s, s:s}", "name", &name, "address",
			&address_text, "peer", &peer_text, "state", &state))
		return;
	leaving = !strcmp(state, "leaving");
	if (*peer_text || pr_is_entry_host_name(peer, name)) {
		bool has_address = nt_parse(
			*peer_text ? peer_text : address_text, &address);

		pr_gossip_add_platform_host(&peer->gossip, name,
					    has_address ? &address : NULL,
					    leaving);
	} else if (leaving && me_on(ME_LEAVING)) {
		pr_gossip_add_leaving_server(&peer->gossip, tm_now_us(), name,
					     0);
	}
}

static void pr_on_list(void *ctx, const struct pf_result *result)
{
	struct pr_peer *peer = ctx;
	uint64_t wait_us = (uint64_t)(peer->gossip.table.live_count + 1) *
			   PR_LIST_INTERVAL_PER_HOST_US;

	tm_subscribe(peer->timers, &peer->list_timer,
		     tm_now_us() +
			     pr_add_jitter(peer, MAX(wait_us,
						     PR_LIST_MIN_INTERVAL_US)));
	if (result->status.kind != ST_OK || !json_is_array(result->json))
		return;
	pr_gossip_begin_platform_list(&peer->gossip);
	for (size_t i = 0; i < json_array_size(result->json); i++)
		pr_handle_list_entry(
			peer, json_object_get(json_array_get(result->json, i),
					      "value"));
	pr_publish_hosts(peer);
}

static void pr_on_list_timer(void *ctx)
{
	struct pr_peer *peer = ctx;
	struct pf_callback callback = { pr_on_list, peer };

	pf_list_rows(peer->platform, PR_HOSTS_TABLE, "", PR_MAX_LIST_ENTRIES,
		     false, &callback);
}

/* Messages and lifecycle of the task */

static void pr_set_document(struct pr_peer *peer, struct doc_document *document)
{
	struct pr_gossip *gossip = &peer->gossip;

	pr_fetch_set_document(&peer->fetch, document);
	pr_gossip_set_generation(gossip, tm_now_us(), document->generation,
				 document->digest);
	/* The gateway ignores a notice about a server that no document has
	 * contained yet, so repeat all notices when a document arrives. */
	for (uint32_t i = 0; i < gossip->leaving_count; i++)
		pr_on_server_state(peer, gossip->leaving[i].name, true);
}

static void pr_on_message(void *ctx, const struct kn_msg *msg)
{
	struct pr_peer *peer = ctx;
	const struct kn_msg_document *document = (const void *)msg;
	const struct kn_msg_server_state *state = (const void *)msg;
	uint64_t now_us = tm_now_us();

	switch (msg->kind) {
	case KN_DOCUMENT:
		pr_set_document(peer, document->document);
		break;
	case KN_SERVER_STATE:
		if (state->leaving)
			pr_gossip_add_leaving_server(&peer->gossip, now_us,
						     state->server, 0);
		break;
	case KN_STOP:
		pr_gossip_drain(&peer->gossip, now_us);
		pr_publish_hosts(peer);
		break;
	default:
		break;
	}
}

static enum st_kind pr_bind(struct pr_peer *peer, struct st_status *status)
{
	const struct nt_address *address = &peer->settings->peers;
	int error;

	uv_udp_init(peer->kernel->loop, &peer->udp);
	peer->udp.data = peer;
	error = uv_udp_bind(&peer->udp, (const struct sockaddr *)&address->addr,
			    0);
	if (!error)
		error = uv_udp_recv_start(&peer->udp, pr_on_datagram_alloc,
					  pr_on_datagram);
	if (error)
		return st_set(status, ST_IO,
			      "cannot receive datagrams on %s: %s",
			      address->text, uv_strerror(error));
	return pr_fetch_init(&peer->fetch, peer->kernel->loop, peer->timers,
			     &peer->gossip, status);
}

static void pr_init_gossip(struct pr_peer *peer, uint64_t incarnation)
{
	const struct se_settings *settings = peer->settings;
	struct pr_gossip_conf conf = {
		.host = settings->host,
		.zone = settings->zone,
		.key = settings->peer_key,
		.address = settings->peers,
		.incarnation = incarnation,
		.random_seed = settings->random_seed ?
				       (uint32_t)settings->random_seed :
				       g_random_int(),
		.seeds = settings->seeds,
		.seed_count = settings->seed_count,
		.callbacks = { pr_send_datagram, pr_on_generation,
			       pr_on_server_state, peer },
	};

	pr_gossip_init(&peer->gossip, &conf);
}

enum st_kind pr_init(struct pr_peer *peer, struct kn_kernel *kernel,
		     struct tm_service *timers, struct pf_client *platform,
		     struct cp_control *control,
		     const struct se_settings *settings, uint64_t incarnation,
		     struct st_status *status)
{
	uint64_t now_us = tm_now_us();

	memset(peer, 0, sizeof(*peer));
	peer->kernel = kernel;
	peer->timers = timers;
	peer->platform = platform;
	peer->control = control;
	peer->settings = settings;
	peer->task = (struct kn_task){ "peer", pr_on_message, peer };
	peer->tick = (struct tm_sub){ .fire = pr_on_tick, .ctx = peer };
	peer->list_timer =
		(struct tm_sub){ .fire = pr_on_list_timer, .ctx = peer };
	peer->fetch_timer =
		(struct tm_sub){ .fire = pr_on_fetch_timer, .ctx = peer };
	pr_init_gossip(peer, incarnation);
	if (pr_bind(peer, status) != ST_OK ||
	    kn_register(kernel, &peer->task, status) != ST_OK) {
		/* The process exits, which closes the open handles. */
		return status->kind;
	}
	peer->fetch.on_done = pr_on_fetched;
	peer->fetch.ctx = peer;
	tm_subscribe(timers, &peer->tick, now_us);
	tm_subscribe(timers, &peer->list_timer,
		     now_us + pr_add_jitter(peer, PR_LIST_MIN_INTERVAL_US));
	return ST_OK;
}

bool pr_is_listed(const struct pr_peer *peer, const char *host,
		  uint64_t incarnation)
{
	for (uint32_t i = 0; i < peer->hosts.count; i++) {
		const struct pr_host *row = &peer->hosts.rows[i];

		if (row->incarnation == incarnation && !strcmp(row->name, host))
			return true;
	}
	return false;
}

void pr_close(struct pr_peer *peer)
{
	tm_cancel(peer->timers, &peer->tick);
	tm_cancel(peer->timers, &peer->list_timer);
	tm_cancel(peer->timers, &peer->fetch_timer);
	pr_fetch_close(&peer->fetch);
	uv_close((uv_handle_t *)&peer->udp, NULL);
}

void pr_free(struct pr_peer *peer)
{
	pr_fetch_free(&peer->fetch);
	pr_gossip_free(&peer->gossip);
}

void pr_leave(struct pr_peer *peer)
{
	pr_gossip_leave(&peer->gossip, tm_now_us());
}
