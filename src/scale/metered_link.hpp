#pragma once

#include "base/partner_link.hpp"
#include "scale/traffic.hpp"

namespace tamarindshift {

// counts what passes through a link, by the class of the partner and by the subject
class MeteredLink : public PartnerLink {
 public:
  using PartnerClass = std::function<std::string(const Address&)>;

  MeteredLink(PartnerLink& inner, Traffic& traffic, PartnerClass partnerClass);
  const Address& own() const override { return inner_.own(); }
  void pass(const Address& partner, Envelope envelope) override;

 private:
  static constexpr std::size_t frameHead = 5;
  static std::string subject(const Envelope& envelope);
  std::string name(const Address& partner, const Envelope& envelope) const { return partnerClass_(partner) + "/" + subject(envelope); }
  PartnerLink& inner_;
  Traffic& traffic_;
  PartnerClass partnerClass_;
};

}  // namespace tamarindshift
