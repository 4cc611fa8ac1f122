import { readFileSync } from 'node:fs'

const VERBS = new Set(JSON.parse(readFileSync(new URL('./verbs.json', import.meta.url), 'utf8')))

/** Returns the first word of a camelCase name, without leading underscores. */
function getFirstWord (name) {
  return name.replace(/^_+/, '').split(/(?=[A-Z0-9])/)[0].toLowerCase()
}

/** ESLint rule: the name of a function or method begins with a verb of tools/verbs.json. */
export const verbRule = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Function '{{name}}' must begin with a verb listed in tools/verbs.json (see docs/STYLE.md)." }
  },
  create (context) {
    function check (node, name) {
      if (!VERBS.has(getFirstWord(name))) context.report({ node, messageId: 'verb', data: { name } })
    }
    return {
      FunctionDeclaration (node) {
        if (node.id) check(node, node.id.name)
      },
      MethodDefinition (node) {
        if (node.kind === 'method' && node.key.type === 'Identifier') check(node, node.key.name)
      },
      VariableDeclarator (node) {
        const isFunction = node.init?.type === 'ArrowFunctionExpression' || node.init?.type === 'FunctionExpression'
        if (isFunction && node.id.type === 'Identifier') check(node, node.id.name)
      }
    }
  }
}
