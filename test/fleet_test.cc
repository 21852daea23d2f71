// Guards the configuration: errors in the operators' files must be reported before the
// files take effect, guarantees that cannot all be met at the same time must be
// rejected, and a change must reproduce the configuration that it was computed from.
#include <gtest/gtest.h>

#include <string>

#include "fleet/fns.h"

namespace
{

template <typename T>
T *
Read (const ProtobufCMessageDescriptor *type, const std::string &text,
      cb_source_t *source = nullptr)
{
  cb_errors_t errors;
  ProtobufCMessage *message;

  cb_errors_init (&errors);
  cb_yaml_read (type, text.data (), text.size (), source, &errors, &message);
  char *lines = cb_errors_text (&errors);
  EXPECT_STREQ ("", lines);
  g_free (lines);
  cb_errors_clear (&errors);
  return reinterpret_cast<T *> (message);
}

// An inventory of RACKS racks, alternately in zones z0 and z1, with three instances of
// eight accelerators each.
std::string
Fleet (int racks)
{
  std::string text = "availability_zones:\n- {name: z0, region: r}\n"
                     "- {name: z1, region: r}\nclient_accounts: [a, b]\nracks:\n";

  for (int i = 0; i < racks; i++)
    {
      std::string k = std::to_string (i);

      text += "- name: r" + k + "\n  availability_zone: z" + std::to_string (i % 2) +
              "\n  instances:\n";
      for (int n = 0; n < 3; n++)
        text += "  - {name: i" + k + "." + std::to_string (n) + ", accelerators: 8}\n";
    }
  return text;
}

std::string
Check (const std::string &inventory_text, const std::string &rules_text)
{
  cb_errors_t errors;
  cb_source_t first, second;

  cb_errors_init (&errors);
  cb_source_init (&first, "inv");
  cb_source_init (&second, "rules");
  auto *inventory =
      Read<Cb__Inventory> (&cb__inventory__descriptor, inventory_text, &first);
  auto *rules = Read<Cb__Rules> (&cb__rules__descriptor, rules_text, &second);
  int err = cb_fleet_check (inventory, &first, rules, &second, &errors);
  char *lines = cb_errors_text (&errors);
  std::string result = lines;
  EXPECT_EQ (result.empty () ? 0 : static_cast<int> (CB_FLEET_INVALID), err);
  g_free (lines);
  cb_msg_free (inventory);
  cb_msg_free (rules);
  cb_source_clear (&first);
  cb_source_clear (&second);
  cb_errors_clear (&errors);
  return result;
}

std::string
Guarantee (const char *account, int count, int size, const char *level)
{
  return std::string ("- {name: ") + account +
         ", guarantees: [{count: " + std::to_string (count) +
         ", accelerators: " + std::to_string (size) + ", adjacency: " + level + "}]}\n";
}

// One check must report all errors with file, line and path, not only the first.
TEST (Check, NamesEveryFault)
{
  std::string errors =
      Check ("availability_zones:\n- {name: z}\nclient_accounts: [a, a]\nracks:\n"
             "- name: r\n  availability_zone: y\n  instances:\n  - {name: 'i 1', "
             "address: x}\n",
             "accounts:\n- name: c\n  quota_accelerators: 1\n  guarantees:\n"
             "  - {count: 0, accelerators: 1}\n"
             "  - {count: 2, accelerators: 1, adjacency: rack, availability_zone: q}\n"
             "kinds:\n- {name: k, job: true, not_repeatable: true, preemption: stop}\n"
             "- {name: k, mainframe: {address: host}}\n"
             "weights: {}\nreclaim_ms: 1\n");

  EXPECT_EQ (
      "inv:2: availability_zones[0].region: the region is missing\n"
      "inv:5: racks[0].availability_zone: \"y\" is not an availability zone of the "
      "inventory\n"
      "inv:8: racks[0].instances[0].name: the name contains white space, a control "
      "character or a slash\n"
      "inv:8: racks[0].instances[0].address: \"x\" is not an address; accepted: "
      "host:port\n"
      "inv:1: client_accounts[1]: \"a\" is already used; names must be unique\n"
      "rules:2: accounts[0].name: \"c\" is not a client account of the inventory\n"
      "rules:5: accounts[0].guarantees[0].count: 0 is out of range; accepted: "
      "1..10000\n"
      "rules:5: accounts[0].guarantees[0].adjacency: a guarantee needs a level; "
      "accepted: instance, rack, zone\n"
      "rules:6: accounts[0].guarantees[1].availability_zone: \"q\" is not an "
      "availability zone of the inventory\n"
      "rules:2: accounts[0]: the guarantees of \"c\" have 2 accelerators, above "
      "quota_accelerators 1\n"
      "rules:8: kinds[0].preemption: a kind that is not_repeatable cannot be stopped "
      "and "
      "run again; accepted: never\n"
      "rules:9: kinds[1].name: \"k\" is already used; names must be unique\n"
      "rules:9: kinds[1].mainframe.address: \"host\" is not an address; accepted: "
      "host:port\n"
      "rules:10: weights: both weights are 0; one must be 1..100\n"
      "rules:1: reclaim_ms: 1 is out of range; accepted: 100..60000\n",
      errors);
}

// The scheduler uses only the first 64 accelerators of a larger instance, so that a
// guarantee of 65 in one instance would be accepted and could never be met.
TEST (Check, AnInstanceHasAtMost64Accelerators)
{
  const std::string inventory =
      "availability_zones:\n- {name: z, region: r}\nclient_accounts: [a]\nracks:\n"
      "- name: r\n  availability_zone: z\n  instances:\n"
      "  - {name: i, accelerators: ";
  const std::string rules = "weights: {fragmentation: 1}\naccounts:\n";

  EXPECT_EQ ("",
             Check (inventory + "64}\n", rules + Guarantee ("a", 1, 64, "instance")));
  EXPECT_EQ ("inv:8: racks[0].instances[0].accelerators: 65 is out of range; accepted: "
             "0..64\n",
             Check (inventory + "65}\n", rules + Guarantee ("a", 1, 65, "instance")));
}

// Guards against guarantees that fit one by one but not together: they would be
// accepted and could not be met at the same time.
TEST (Check, GuaranteesMustBePlaceableAtOnce)
{
  // A whole rack stays free only when the smaller shapes all go to the other rack.
  EXPECT_EQ ("", Check (Fleet (2), "accounts:\n" + Guarantee ("a", 1, 24, "rack") +
                                       Guarantee ("b", 3, 8, "instance")));
  EXPECT_EQ ("rules:3: accounts[1].guarantees[0]: account \"b\": 1 of 1 shapes of 24 "
             "accelerators in one rack have no place in the inventory beside the other "
             "guarantees\n",
             Check (Fleet (2), "accounts:\n" + Guarantee ("a", 4, 8, "instance") +
                                   Guarantee ("b", 1, 24, "rack")));
  EXPECT_NE ("", Check (Fleet (4), "accounts:\n" + Guarantee ("a", 1, 9, "instance")));
  EXPECT_NE ("", Check (Fleet (4), "accounts:\n" + Guarantee ("a", 1, 49, "zone")));
  EXPECT_EQ ("", Check (Fleet (4), "accounts:\n" + Guarantee ("a", 2, 48, "zone")));
}

// Guards against a check that tries only best fit and rejects guarantees that can be
// met.
TEST (Check, SearchFindsPlacementsThatBestFitMisses)
{
  // Best fit places the shape of 5 in the instance of 7 accelerators, then those of 4
  // and 3 in the instance of 8, which leaves 2 + 1 free for the second shape of 3. Only
  // 4 + 3 in the instance of 7 and 5 + 3 in the instance of 8 fits.
  std::string inventory = "availability_zones:\n- {name: z, region: r}\n"
                          "client_accounts: [a]\nracks:\n"
                          "- name: r\n  availability_zone: z\n  instances:\n"
                          "  - {name: i, accelerators: 7}\n"
                          "  - {name: j, accelerators: 8}\n";
  std::string rules = "accounts:\n- name: a\n  guarantees:\n";

  for (int size : { 5, 4, 3, 3 })
    rules += "  - {count: 1, accelerators: " + std::to_string (size) +
             ", adjacency: instance}\n";
  EXPECT_EQ ("", Check (inventory, rules));
}

// Expects that the change from FROM to TO has RACKS changed racks and, applied to FROM,
// gives TO with its objects in the same order.
void
ExpectChange (Cb__Config *from, Cb__Config *to, size_t racks)
{
  Cb__ConfigChange *change = cb_config_diff (from, to);
  Cb__Config *result;

  EXPECT_EQ (racks, change->n_racks);
  ASSERT_EQ (CB_OK, cb_config_apply (from, change, to->version, &result));
  char *expected = cb_json_write (&to->base);
  char *actual = cb_json_write (&result->base);
  EXPECT_STREQ (expected, actual);
  g_free (expected);
  g_free (actual);
  cb_msg_free (result);
  cb_msg_free (change);
}

Cb__Config *
Config (uint64_t version, const std::string &rules)
{
  auto *config = static_cast<Cb__Config *> (cb_msg_new (&cb__config__descriptor));

  config->version = version;
  config->inventory = Read<Cb__Inventory> (&cb__inventory__descriptor, Fleet (4));
  config->rules = Read<Cb__Rules> (&cb__rules__descriptor, rules);
  return config;
}

// The order of racks and instances determines their indexes, so that a change must keep
// it; objects that did not change must not be written to the log again.
TEST (Change, HasOnlyChangedObjectsAndKeepsTheOrder)
{
  std::string rules = "accounts:\n" + Guarantee ("a", 1, 24, "rack") +
                      "kinds: [{name: k}]\nweights: {fragmentation: 5}\n";
  Cb__Config *from = Config (7, rules);
  Cb__Config *to = Config (9, rules);
  Cb__Rack **racks = to->inventory->racks;

  ExpectChange (nullptr, to, 4);
  ExpectChange (from, to, 0);
  racks[1]->instances[2]->cores = 60;
  ExpectChange (from, to, 1);
  std::swap (racks[2], racks[3]);
  ExpectChange (from, to, 2); // one changed, one moved to the end
  cb_msg_free (racks[0]);
  racks[0] = racks[1];
  racks[1] = racks[2];
  racks[2] = racks[3];
  to->inventory->n_racks = 3;
  cb_msg_free (to->rules->weights);
  to->rules->weights = nullptr;
  ExpectChange (from, to, 2);
  cb_msg_free (from);
  cb_msg_free (to);
}

// A change based on another version, or made by a faulty client, must not be applied.
TEST (Change, RefusesAnotherBaseAndAnInvalidResult)
{
  Cb__Config *from = Config (7, "accounts:\n" + Guarantee ("a", 1, 24, "rack"));
  Cb__Config *to = Config (7, "accounts: []\n");
  Cb__ConfigChange *change = cb_config_diff (from, to);
  Cb__Config *result;

  change->base_version = 6;
  EXPECT_EQ (CB_FLEET_CONFLICT, cb_config_apply (from, change, 9, &result));
  EXPECT_EQ (CB_FLEET_CONFLICT, cb_config_apply (nullptr, change, 9, &result));
  change->base_version = 7;
  cb_msg_append (reinterpret_cast<void ***> (&change->removed_racks),
                 &change->n_removed_racks, strdup ("absent"));
  EXPECT_EQ (CB_FLEET_INVALID, cb_config_apply (from, change, 9, &result));
  cb_msg_free (change);
  change = cb_config_diff (from, to);
  cb_msg_append (reinterpret_cast<void ***> (&change->removed_client_accounts),
                 &change->n_removed_client_accounts, strdup ("a"));
  EXPECT_EQ (CB_OK, cb_config_apply (from, change, 9, &result));
  cb_msg_free (result);
  free (change->removed_accounts[0]);
  change->n_removed_accounts = 0; // now the rule of the removed account stays
  EXPECT_EQ (CB_FLEET_INVALID, cb_config_apply (from, change, 9, &result));
  EXPECT_EQ (nullptr, result);
  cb_msg_free (change);
  cb_msg_free (from);
  cb_msg_free (to);
}

// The scheduler relies on consecutive indexes of the instances of a rack, and the
// router on the rules that are derived from a kind.
TEST (Fleet, IndexesInTheOrderOfTheInventory)
{
  Cb__Config *config = Config (7, "kinds: [{name: k, mainframe: {address: 'h:1', "
                                  "signed_off_by: f}}, {name: p, preemption: stop}]\n");
  cb_fleet_t *fleet = cb_fleet_new (config);

  cb_msg_free (config);
  ASSERT_EQ (12u, fleet->instance_count);
  EXPECT_EQ (5u, cb_fleet_instance (fleet, "i1.2")->index);
  EXPECT_STREQ ("r", cb_fleet_cell_of (fleet, cb_fleet_instance (fleet, "i1.2")));
  EXPECT_EQ (nullptr, cb_fleet_instance (fleet, "i9.9"));
  EXPECT_TRUE (cb_fleet_has_client_account (fleet, "b"));
  EXPECT_TRUE (cb_fleet_kind_needs_claim (cb_fleet_kind (fleet, "k")));
  EXPECT_FALSE (cb_fleet_kind_needs_claim (cb_fleet_kind (fleet, "p")));
  EXPECT_TRUE (cb_fleet_kind_can_borrow (cb_fleet_kind (fleet, "p")));
  EXPECT_EQ (10000u, cb_fleet_timeout_ms (cb_fleet_kind (fleet, "k")));
  EXPECT_EQ (2000u, cb_fleet_reclaim_ms (fleet));
  cb_fleet_unref (fleet);
}

}
