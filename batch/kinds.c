/* Kinds of work, in a table of bounded size. */
#include "batch/interference.h"

/* A kind that is not in use gives its place to a new one after so many starts, and no
   two kinds do so within as many: a load in which each job has its own image does not
   void what is being learned of the others. */
#define REPLACED_AFTER 1024

/* Returns the name of the kind of STEP of a job of QUEUE, owned by its arguments. */
const char *
kind_name (const Cb__BatchStep *step, const char *queue)
{
  return step->image[0] != '\0' ? step->image : queue;
}

/* Returns the place of the kind NAME; KIND_OTHER when it has none. */
uint32_t
kind_find (const interference_t *state, const char *name)
{
  gpointer place = g_hash_table_lookup (state->kind_of_name, name);

  return place == NULL ? KIND_OTHER : GPOINTER_TO_UINT (place) - 1;
}

/* Returns a free place; or that of the kind that has been unused for longest, once it
   may be replaced; or KIND_OTHER. */
static uint32_t
find_place (const interference_t *state)
{
  uint32_t oldest = KIND_OTHER;

  for (uint32_t k = 0; k < KIND_OTHER; k++)
    {
      const kind_t *kind = &state->kinds[k];

      if (kind->name == NULL)
        return k;
      if (kind->runs == 0 &&
          (oldest == KIND_OTHER || kind->number < state->kinds[oldest].number))
        oldest = k;
    }
  if (oldest == KIND_OTHER ||
      state->number - state->kinds[oldest].number < REPLACED_AFTER ||
      state->number - state->samples_from < REPLACED_AFTER)
    return KIND_OTHER;
  return oldest;
}

/* Gives the kind NAME a place if there is one. Runs and samples from before a
   replacement are void, as they may refer to the earlier kind. */
static uint32_t
add_kind (cb_batch_t *b, const char *name)
{
  interference_t *state = b->interference;
  uint32_t place = find_place (state);
  kind_t *kind = &state->kinds[place];

  if (place == KIND_OTHER)
    return place;
  if (kind->name != NULL)
    {
      interference_forget_kind (b, place);
      g_hash_table_remove (state->kind_of_name, kind->name);
      g_free (kind->name);
      state->runs_from = state->number;
      state->samples_from = state->number;
    }
  kind->name = g_strdup (name);
  g_hash_table_insert (state->kind_of_name, kind->name, GUINT_TO_POINTER (place + 1));
  return place;
}

/* Returns the place of the kind of TASK, whose run is the latest by number, and adds
   the kind if it is new. */
uint32_t
kind_of_run (cb_batch_t *b, const task_t *task)
{
  interference_t *state = b->interference;
  const char *name = kind_name (task_spec (task), task->job->spec->queue);
  uint32_t place = kind_find (state, name);

  if (place == KIND_OTHER)
    place = add_kind (b, name);
  state->kinds[place].number = state->number;
  return place;
}
