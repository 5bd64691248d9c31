#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <stdint.h>
#include <glib.h>

/*
 * Latency histograms of calls, one for each service and result.
 *
 * hg_observe - count one call. At most HG_MAX_SERIES pairs are kept; calls of
 *	further pairs count as service "other".
 * hg_write - append the usual text exposition to OUT. Source: histogram.c
 */
enum { HG_MAX_SERIES = 512 };

void hg_observe(const char *service, const char *result, uint64_t latency_us);
void hg_write(GString *out);

#endif
