/*
 * What each workspace holds, requests and waits for, as the leader counts it.
 */
#include "sited_lead.h"

static char *append_account(char *text, const struct plan_share_user *user,
			    enum plan_share_class class, const char *label)
{
	const struct plan_account *a = &user->account[class];
	const struct {
		const char *state;
		int64_t accelerators;
	} counts[] = {
		{"requested", a->held_accelerators + a->waiting_accelerators},
		{"running", a->held_accelerators},
		{"waiting", a->waiting_accelerators},
	};
	const char *priority = plan_share_class_name(class);
	const char *service = sited_label(text, user->pool->service);

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		text = talloc_asprintf_append_buffer(
			text,
			"currantlane_workspace_accelerators{workspace=\"%s\",service=\"%s\","
			"priority=\"%s\",state=\"%s\"} %" PRId64 "\n",
			label, service, priority, counts[i].state, counts[i].accelerators);
	return talloc_asprintf_append_buffer(text,
					     "currantlane_workspace_share{workspace=\"%s\","
					     "service=\"%s\",priority=\"%s\"} %.3f\n",
					     label, service, priority, plan_share_service(a));
}

static char *append_user(char *text, const struct plan_share_user *user)
{
	char *label = sited_label(text, user->workspace);

	for (unsigned int i = 0; i < PLAN_SHARE_CLASS_COUNT; i++)
		if (user->account[i].mean_requested > 0)
			text = append_account(text, user, (enum plan_share_class)i, label);
	return text;
}

char *lead_append_shares(const struct lead *l, char *text)
{
	for (unsigned int i = 0; i < l->share->user_count; i++)
		text = append_user(text, &l->share->user[i]);
	for (unsigned int i = 0; i < l->share->pool_count; i++)
		text = append_user(text, &l->share->pool[i].others);
	return text;
}
