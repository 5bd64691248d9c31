#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdint.h>
#include <glib.h>

/*
 * Latency histograms of calls, one series for each pair of service and result.
 *
 * hg_observe - count one call. There are at most HG_MAX_SERIES series; the last
 *	one has service and result "other" and counts the calls of all further pairs.
 * hg_write - append the series to OUT in the Prometheus text format.
 *	Source: base/histogram.c
 */
enum { HG_MAX_SERIES = 512 };

void hg_observe(const char *service, const char *result, uint64_t latency_us);
void hg_write(GString *out);

#endif
