#ifndef RAW_IO_H
#define RAW_IO_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/socket.h>

/*
 * write_all - write to a blocking socket. Returns false when the other side has closed;
 * adds the bytes that it took to WRITTEN, which may be NULL.
 */
static inline bool write_all(int fd, const char *data, size_t bytes,
			     size_t *written)
{
	while (bytes) {
		ssize_t n = send(fd, data, bytes, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		bytes -= (size_t)n;
		if (written)
			*written += (size_t)n;
	}
	return true;
}

#endif
