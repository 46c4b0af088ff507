#include "toml.h"

#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <cstring>
#include <sstream>
#include <string>

static json_t *convert(const toml::node &node, const std::string &path, json_t *lines);

static json_t *convert_table(const toml::table &table, const std::string &path, json_t *lines)
{
	json_t *obj = json_object();

	for (auto &&[key, value] : table) {
		std::string sub = path.empty() ? std::string(key.str()) : path + "." + std::string(key.str());

		json_object_set_new(lines, sub.c_str(), json_integer((json_int_t)key.source().begin.line));
		json_object_set_new(obj, std::string(key.str()).c_str(), convert(value, sub, lines));
	}
	return obj;
}

static json_t *convert(const toml::node &node, const std::string &path, json_t *lines)
{
	if (auto *table = node.as_table())
		return convert_table(*table, path, lines);
	if (auto *array = node.as_array()) {
		json_t *list = json_array();
		size_t i = 0;

		for (auto &&item : *array)
			json_array_append_new(list, convert(item, path + "[" + std::to_string(i++) + "]", lines));
		return list;
	}
	if (auto *s = node.as_string())
		return json_string(s->get().c_str());
	if (auto *i = node.as_integer())
		return json_integer((json_int_t)i->get());
	if (auto *f = node.as_floating_point())
		return json_real(f->get());
	if (auto *b = node.as_boolean())
		return json_boolean(b->get());
	return json_null();
}

extern "C" json_t *toml_load(const char *path, json_t **lines, char **error)
{
	toml::parse_result result = toml::parse_file(path);

	*lines = nullptr;
	*error = nullptr;
	if (!result) {
		std::ostringstream text;

		text << path << ":" << result.error().source().begin.line << ": "
		     << result.error().description();
		*error = strdup(text.str().c_str());
		return nullptr;
	}
	*lines = json_object();
	return convert_table(result.table(), "", *lines);
}
