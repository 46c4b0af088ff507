/**
 * DOC: toml - reads TOML files as JSON values, with the line of each key
 */
#ifndef TOML_H
#define TOML_H

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * toml_load() - parse one file
 * @path: file to read
 * @lines: set to an object that maps each dotted key path to its line; caller frees
 * @error: set to a malloc()ed message with file and line on failure; caller frees
 * Return: the document, owned by the caller, or NULL.
 */
json_t *toml_load(const char *path, json_t **lines, char **error);

#ifdef __cplusplus
}
#endif
#endif
