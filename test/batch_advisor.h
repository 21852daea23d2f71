// The advisor of queues whose policy allows only some workers, in virtual time.
#ifndef TEST_BATCH_ADVISOR_H
#define TEST_BATCH_ADVISOR_H

#include <set>
#include <string>
#include <vector>

#include "batch/fns.h"
#include "test/batch_worker.h"

class Advisor
{
public:
  std::set<std::string> allowed; // workers
  cb_msec_t ticket_ms = 0;       // validity; 0: workers ask for no ticket
  int questions = 0;

  ~Advisor ()
  {
    cb_batch_question_free (question_);
  }
  // Answers SCHEDULER one question at a time, each takes its time.
  void
  Answer (cb_batch_t *scheduler, cb_msec_t now)
  {
    if (question_ == nullptr)
      {
        question_ = cb_batch_take_question (scheduler);
        asked_ms_ = now;
        questions += question_ != nullptr;
      }
    if (question_ == nullptr || now < asked_ms_ + question_->takes_ms)
      return;
    std::vector<std::pair<std::string, std::string> > rows;
    std::vector<cb_batch_permit_t> permits;
    for (guint i = 0; i < question_->asked->len; i++)
      {
        auto *asked = static_cast<cb_batch_asked_t *> (question_->asked->pdata[i]);
        if (allowed.count (asked->worker))
          rows.emplace_back (asked->worker, Life (asked->worker, asked->born_ms) +
                                                std::to_string (now));
      }
    for (const auto &row : rows)
      permits.push_back ({ row.first.c_str (), row.second.c_str () });
    cb_batch_permit (scheduler, question_, permits.data (), permits.size (), asked_ms_);
    cb_batch_question_free (question_);
    question_ = nullptr;
  }
  // Whether W takes TICKET for a start.
  bool
  Accepts (const Worker &w, const std::string &ticket, cb_msec_t now) const
  {
    std::string life = Life (w.id, w.born_ms);

    return ticket_ms == 0 ||
           (ticket.rfind (life, 0) == 0 &&
            now <= std::stoll (ticket.substr (life.size ())) + ticket_ms);
  }

private:
  cb_batch_question_t *question_ = nullptr;
  cb_msec_t asked_ms_ = 0;

  static std::string
  Life (const std::string &worker, uint64_t born_ms)
  {
    return worker + "/" + std::to_string (born_ms) + "/";
  }
};

#endif
