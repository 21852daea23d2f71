/* Shared by the fuzz targets: splits an input into frames and checks conditions. */
#ifndef FUZZ_H
#define FUZZ_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/fns.h"

/* One event of an input, encoded as: selector (1 byte), wait (1), length of the data
   (2, little-endian), data. The target defines the events that SELECTOR stands for.
   WAIT is the virtual time before the event in units of 100 ms; some events also take
   it as a parameter. */
typedef struct
{
  uint8_t selector;
  uint8_t wait;
  const uint8_t *data;
  size_t size;
} fuzz_frame_t;

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Takes the next frame from DATA; FALSE at its end. A length beyond the end is limited
   to what is left. */
static inline gboolean
fuzz_next (const uint8_t **data, size_t *size, fuzz_frame_t *frame)
{
  size_t length;

  if (*size < 4)
    return FALSE;
  frame->selector = (*data)[0];
  frame->wait = (*data)[1];
  length = (size_t)(*data)[2] | (size_t)(*data)[3] << 8;
  *data += 4;
  *size -= 4;
  frame->data = *data;
  frame->size = MIN (length, *size);
  *data += frame->size;
  *size -= frame->size;
  return TRUE;
}

/* Aborts unless CONDITION holds, so that the fuzzer keeps the input. */
#define FUZZ_CHECK(condition)                                                          \
  do                                                                                   \
    if (!(condition))                                                                  \
      {                                                                                \
        fprintf (stderr, "%s:%d: does not hold: %s\n", __FILE__, __LINE__,             \
                 #condition);                                                          \
        abort ();                                                                      \
      }                                                                                \
  while (0)

#endif
