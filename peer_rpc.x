/*
 * Messages between entry hosts. "make gen" writes gen/peer_rpc.h and
 * gen/peer_rpc_xdr.c from this file.
 */

const PR_WIRE_NAME_CHARS = 63;
const PR_WIRE_ADDRESS_CHARS = 63;
const PR_WIRE_DIGEST_BYTES = 32;
const PR_WIRE_MAX_SAMPLE = 12;
const PR_WIRE_MAX_LEAVING = 8;
const PR_WIRE_PIECE_BYTES = 32768;

/* First part of every message, call or reply. */
struct pr_msg_origin {
	string host<PR_WIRE_NAME_CHARS>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	/* Whom the message is for; incarnation 0 when it is not known. */
	string to_address<PR_WIRE_ADDRESS_CHARS>;
	unsigned hyper to_incarnation;
};

enum pr_msg_state {
	PR_MSG_ALIVE = 0,
	PR_MSG_SUSPECT = 1,
	PR_MSG_LEFT = 2
};

/*
 * What the sender knows of a member. The age is that of the newest sign of
 * life, for a suspect that of the first call without a reply.
 */
struct pr_msg_member {
	string name<PR_WIRE_NAME_CHARS>;
	string zone<PR_WIRE_NAME_CHARS>;
	string address<PR_WIRE_ADDRESS_CHARS>;
	unsigned hyper incarnation;
	unsigned int age_ms;
	pr_msg_state state;
	bool draining;
};

/* A server with a sign of leaving, and the age of the sign. */
struct pr_msg_leaving {
	string server<PR_WIRE_NAME_CHARS>;
	unsigned int age_ms;
};

struct pr_msg_heartbeat {
	string zone<PR_WIRE_NAME_CHARS>;
	string address<PR_WIRE_ADDRESS_CHARS>;
	pr_msg_state state;
	bool draining;
	unsigned hyper generation;
	opaque digest[PR_WIRE_DIGEST_BYTES];
	/* Since the platform confirmed the generation; all ones: never. */
	unsigned int confirmed_age_ms;
	/* Live hosts known to the sender, without itself. */
	unsigned int members;
	pr_msg_member sample<PR_WIRE_MAX_SAMPLE>;
	pr_msg_leaving leaving<PR_WIRE_MAX_LEAVING>;
};

struct pr_msg_fetch {
	unsigned hyper generation;
	opaque digest[PR_WIRE_DIGEST_BYTES];
	unsigned int offset;
};

/* TOTAL_BYTES is 0 when the host does not have that document. */
struct pr_msg_piece {
	unsigned int total_bytes;
	unsigned int offset;
	opaque data<PR_WIRE_PIECE_BYTES>;
};

program PR_PROGRAM {
	version PR_VERSION {
		pr_msg_heartbeat PR_HEARTBEAT(pr_msg_heartbeat) = 1;
		pr_msg_piece PR_FETCH(pr_msg_fetch) = 2;
	} = 1;
} = 0x20004a57;
