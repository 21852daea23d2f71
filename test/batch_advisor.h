// A simulated advisor in virtual time, for queues whose tasks may run only on
// workers that it permits. A ticket is its permission for one worker process.
#ifndef TEST_BATCH_ADVISOR_H
#define TEST_BATCH_ADVISOR_H

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "batch/fns.h"
#include "test/batch_worker.h"

class Advisor
{
public:
  std::set<std::string> allowed;    // permitted workers
  cb_msec_t ticket_validity_ms = 0; // 0: workers require no ticket
  int requests = 0;
  guint largest_request = 0; // in workers
  // Tickets are valid from the request on, instead of from the answer on.
  bool issues_early = false;

  ~Advisor ()
  {
    cb_batch_advice_request_free (request_);
  }
  // Answers the requests of SCHEDULER, one at a time and each after its advice_ms.
  void
  Answer (cb_batch_t *scheduler, cb_msec_t now)
  {
    if (request_ == nullptr)
      {
        request_ = cb_batch_pop_advice_request (scheduler);
        sent_ms_ = now;
        requests += request_ != nullptr;
        if (request_ != nullptr)
          largest_request = std::max (largest_request, request_->candidates->len);
      }
    if (request_ == nullptr || now < sent_ms_ + request_->advice_ms)
      return;
    std::vector<std::pair<std::string, std::string> > tickets;
    std::vector<cb_batch_permit_t> permits;
    for (guint i = 0; i < request_->candidates->len; i++)
      {
        auto *candidate =
            static_cast<cb_batch_candidate_t *> (request_->candidates->pdata[i]);
        if (allowed.count (candidate->worker))
          tickets.emplace_back (
              candidate->worker,
              TicketPrefix (candidate->worker, candidate->incarnation_ms) +
                  std::to_string (issues_early ? sent_ms_ : now));
      }
    for (const auto &ticket : tickets)
      permits.push_back ({ ticket.first.c_str (), ticket.second.c_str () });
    const cb_batch_advice_t advice = { permits.data (), permits.size (),
                                       ticket_validity_ms };
    cb_batch_apply_advice (scheduler, request_, &advice, sent_ms_, now);
    cb_batch_advice_request_free (request_);
    request_ = nullptr;
  }
  // Returns whether W accepts a start with TICKET.
  bool
  Accepts (const Worker &w, const std::string &ticket, cb_msec_t now) const
  {
    std::string prefix = TicketPrefix (w.id, w.incarnation_ms);

    return ticket_validity_ms == 0 ||
           (ticket.rfind (prefix, 0) == 0 &&
            now <= std::stoll (ticket.substr (prefix.size ())) + ticket_validity_ms);
  }

private:
  cb_batch_advice_request_t *request_ = nullptr;
  cb_msec_t sent_ms_ = 0;

  static std::string
  TicketPrefix (const std::string &worker, uint64_t incarnation_ms)
  {
    return worker + "/" + std::to_string (incarnation_ms) + "/";
  }
};

#endif
