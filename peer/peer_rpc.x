/*
 * Messages between entry hosts. "make gen" generates gen/peer_rpc.h and
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
	/* Intended receiver; to_incarnation is 0 when it is not known. */
	string to_address<PR_WIRE_ADDRESS_CHARS>;
	unsigned hyper to_incarnation;
};

enum pr_msg_state {
	PR_MSG_ALIVE = 0,
	PR_MSG_SUSPECT = 1,
	PR_MSG_LEFT = 2
};

/*
 * State of a member in the sender's table. age_ms is the time since the member
 * was last seen, for a suspect the time since the first unanswered call.
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

/* A leaving server. age_ms: since the last notice that the sender received. */
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
	/* Time since the platform confirmed the generation; all ones: never. */
	unsigned int confirmed_age_ms;
	/* Live hosts in the sender's table, without the sender. */
	unsigned int members;
	pr_msg_member sample<PR_WIRE_MAX_SAMPLE>;
	pr_msg_leaving leaving<PR_WIRE_MAX_LEAVING>;
};

struct pr_msg_fetch {
	unsigned hyper generation;
	opaque digest[PR_WIRE_DIGEST_BYTES];
	unsigned int offset;
};

/* total_bytes is 0 when the host does not have that document. */
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
