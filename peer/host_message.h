#ifndef PEER_HOST_MESSAGE_H
#define PEER_HOST_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <h2o.h>

/*
 * What hosts that follow the platform send each other, on their listeners for other
 * hosts, and how their answers are told from those of servers. Nothing else decides
 * either.
 *
 * A message is one by its method and target, byte for byte. A call that a host passes
 * on for a caller travels wrapped in a message: its method and target are values of
 * headers, and the name of each of its headers has a prefix. So nothing that a caller
 * sends is read as a message.
 *
 * Hosts of earlier builds pass a call on as the caller sent it, and add HM_FROM_HOST,
 * which no message has and which they take from no caller. They answer a wrapped call
 * with HM_EARLIER_ANSWER and do nothing else.
 *
 * An answer to a message has HM_ANSWER. It tells who made the answer to a call: HM_SERVER,
 * or the name of an error kind (base/status.h) if the host has refused or ended it.
 */
#define HM_ALERT_PATH "/alert"
#define HM_POLL_PATH  "/changes"
#define HM_QUOTA_PATH "/quota"
#define HM_HOSTS_PATH "/hosts"
#define HM_CALL_TARGET \
	HM_ALERT_PATH "?call=1" /* answered with few bytes by all */

/* Before the names of all headers of hosts. */
#define HM_OWN_PREFIX "x-entry-"

#define HM_FROM_HOST	  HM_OWN_PREFIX "host"
#define HM_ANSWER	  HM_OWN_PREFIX "answer"
#define HM_SERVER	  "server"
#define HM_HOST		  "host" /* the answer to a message that is no call */
#define HM_EARLIER_ANSWER "{\"ver\":0}"

enum hm_kind {
	HM_NONE, /* no message */
	HM_POLL,
	HM_ALERT,
	HM_QUOTA,
	HM_HOSTS,
	HM_CALL,
	HM_EARLIER_CALL /* as hosts of earlier builds pass it on */
};

/* Lines of a wrapped head; the listener takes no more than 100. */
enum { HM_MAX_CALL_LINES = 88 };

/*
 * hm_kind - what REQ, on the listener for other hosts, is. Must come before
 *	hm_unwrap_call.
 * hm_mark_message - mark the answer to REQ, a message that is no call.
 * Source: peer/host_message.c
 */
enum hm_kind hm_kind(const h2o_req_t *req);
void hm_mark_message(h2o_req_t *req);

/*
 * hm_is_own_header - whether only hosts use the header. It passes from no caller to a
 *	server or host, and from no server to a caller or host.
 * hm_wrap_call - a message with HEAD, the request line of a call and its headers, each
 *	ended by CRLF, for the host at ADDRESS. The head of the message is not ended. NULL:
 *	HEAD has more than HM_MAX_CALL_LINES.
 * hm_add_field - add a field of this host about the call; NAME begins with HM_OWN_PREFIX,
 *	by which the other host finds it.
 * hm_unwrap_call - put the call in the place of the message REQ. False: it holds none.
 * hm_mark_answer - say who has answered, if REQ was unwrapped.
 * hm_is_message_of_earlier - whether an earlier build takes a call with that target for
 *	a message.
 */
bool hm_is_own_header(const char *name, size_t bytes);
GString *hm_wrap_call(const GString *head, const char *address);
void hm_add_field(GString *out, const char *name, const char *value,
		  size_t value_bytes);
bool hm_unwrap_call(h2o_req_t *req);
void hm_mark_answer(h2o_req_t *req, const char *by);
bool hm_is_message_of_earlier(const char *target, size_t bytes);

#endif
