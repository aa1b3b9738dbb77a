#include "SlotService.h"

#include "SlotState.h"

namespace Bergamotramp {

SlotService::SlotService(const HostContext &context) : state(std::make_unique<State>(context))
{
}

SlotService::~SlotService() = default;

std::variant<SlotTicket, SlotDenial> SlotService::acquire(const SlotDemand &demand, std::function<void()> revoked)
{
    return this->state->acquire(demand, std::move(revoked));
}

void SlotService::release(const SlotTicket &ticket, const GrantOutcome &outcome)
{
    this->state->release(ticket, outcome);
}

void SlotService::progress(const SlotTicket &ticket, std::uint32_t tokens)
{
    this->state->progress(ticket, tokens);
}

void SlotService::handle(const wire::Envelope &envelope)
{
    this->state->handle(envelope);
}

void SlotService::catalogueChanged()
{
    this->state->refresh();
}

nlohmann::json SlotService::status() const
{
    return this->state->status();
}

std::map<std::string, SlotUsage> SlotService::usage() const
{
    return this->state->usage();
}

} // namespace Bergamotramp
