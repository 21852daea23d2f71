/* Shared by the programs of bench/slopes.sh, which measures how bytes, memory and
   instructions grow with the size of the system. A program has several parts: each
   measures one activity at a size, both given on the command line. */
#ifndef BENCH_SLOPES_H
#define BENCH_SLOPES_H

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/fns.h"

#define SLOPES_MEASURED_S 10
#define SLOPES_TICK_MS 50
#define SLOPES_EPOCH 7

/* The measured activity of a part. */
typedef void (*slope_fn_t) (void *ctx);

typedef struct
{
  const char *name;
  void (*fn) (uint32_t size);
} slope_part_t;

/* Bytes and messages sent, and calls of the worker's interface. */
typedef struct
{
  uint64_t bytes;
  uint64_t messages;
  uint64_t calls;
} slope_counts_t;

void cb_slopes_measured (slope_fn_t fn, void *ctx);

/* Runs FN. Callgrind counts the instructions of this function, which it finds by its
   name: it must not be inlined. */
__attribute__ ((noinline)) void
cb_slopes_measured (slope_fn_t fn, void *ctx)
{
  fn (ctx);
}

/* Returns the bytes that malloc has allocated and that are not freed yet. */
static inline size_t
allocated_bytes (void)
{
  return mallinfo2 ().uordblks;
}

/* Returns an envelope with an empty body of type BODY_CASE. Freed with cb_msg_free. */
static inline Cb__Envelope *
new_envelope (const char *from, Cb__Envelope__BodyCase body_case)
{
  Cb__Envelope *envelope = cb_msg_new (&cb__envelope__descriptor);
  const ProtobufCFieldDescriptor *field =
      protobuf_c_message_descriptor_get_field (&cb__envelope__descriptor, body_case);

  cb_msg_set_string (&envelope->from, from);
  cb_msg_set_string (&envelope->cell, "cell");
  envelope->epoch = SLOPES_EPOCH;
  envelope->body_case = body_case;
  /* All members of the union are pointers to messages. */
  envelope->heartbeat = cb_msg_new (field->descriptor);
  return envelope;
}

/* Returns a job of four hours; ACCELERATORS are those of each member. Freed with
   cb_msg_free. */
static inline Cb__Job *
new_job (const char *account, uint32_t number, uint32_t members, uint32_t accelerators)
{
  Cb__Job *job = cb_msg_new (&cb__job__descriptor);
  char *key = g_strdup_printf ("job-2026-12-%06u", number);

  cb_msg_set_string (&job->key, key);
  cb_msg_set_string (&job->account, account);
  cb_msg_set_string (&job->kind, "train");
  cb_msg_set_string (&job->cell, "cell");
  cb_msg_set_string (&job->command, "run --config /models/large/settings-17");
  job->members = members;
  job->accelerators = accelerators;
  job->cores = 2;
  job->memory_gb = 4;
  job->run_ms = 4LL * 3600 * 1000;
  g_free (key);
  return job;
}

/* Runs the part and the size that the command line names. Returns the exit status. */
static inline int
run_part (int argc, char **argv, const slope_part_t *parts, size_t count)
{
  for (size_t i = 0; argc == 3 && i < count; i++)
    if (strcmp (parts[i].name, argv[1]) == 0)
      {
        printf ("part=%s size=%s ", argv[1], argv[2]);
        parts[i].fn ((uint32_t)strtoul (argv[2], NULL, 10));
        return 0;
      }
  fprintf (stderr, "usage: %s PART SIZE\n", argv[0]);
  return 2;
}

#endif
