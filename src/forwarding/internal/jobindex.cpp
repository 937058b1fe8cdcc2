#include "forwarding/internal/jobindex.h"

#include "forwarding/internal/requestjob.h"

namespace lagoon::forwarding {

void JobIndex::add(const Job& job)
{
    all_.insert(job);
    if (!job->spec().facts.model.value().empty())
        byModel_[job->spec().facts.model].insert(job);
    if (job->spec().key)
        byKey_.add(*job->spec().key, job);
}

void JobIndex::remove(const Job& job)
{
    all_.erase(job);
    const auto ofModel = byModel_.find(job->spec().facts.model);
    if (ofModel != byModel_.end() && ofModel->second.erase(job) > 0 && ofModel->second.empty())
        byModel_.erase(ofModel);
    if (job->spec().key)
        byKey_.remove(*job->spec().key, job);
}

JobIndex::Jobs JobIndex::forModels(const std::vector<framework::ModelName>& models) const
{
    Jobs jobs;
    for (const framework::ModelName& model : models) {
        const auto ofModel = byModel_.find(model);
        if (ofModel != byModel_.end())
            jobs.insert(ofModel->second.begin(), ofModel->second.end());
    }
    return jobs;
}

} // namespace lagoon::forwarding
